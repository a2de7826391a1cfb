"""Tests of take-ups beside cuts from the store, failed reads and equal ids."""

from __future__ import annotations

import asyncio
import unittest

from origin_fleet import NEW, OLD, SERVICE, OriginFleetCase

from sapphireledge.core.origins import Origin, OriginReport, digest_attempt
from sapphireledge.gateway.version_history import MIN_RETENTION


class OriginGapsTest(OriginFleetCase):
    async def test_instance_that_was_just_cut_off_does_not_miss_a_new_version(self):
        """Guards against joined text at an instance that has not heard of a roll-out yet."""
        a, b = self.start("a", OLD), self.start("b", OLD)
        await asyncio.sleep(20.0)
        a.has_feed = False
        await asyncio.sleep(1.0)
        b.serve(OLD, NEW)
        b.begin("s1", NEW)
        await asyncio.sleep(4.0)
        await self.power_off("b")
        self.assertIn(await a.find("s1"), (None, NEW))

    async def test_instance_that_was_out_of_step_while_a_version_joined(self):
        """Guards against joined text at an instance that was cut off or stood still meanwhile."""
        for number, (away, returns) in enumerate(
            (away, returns) for away in (0.2, 0.5, 0.9, 1.5, 4.0, 9.0) for returns in (True, False)
        ):
            with self.subTest(away=away, returns=returns):
                names = (f"a{number}", f"b{number}")
                a, b = (self.start(name, OLD) for name in names)
                await asyncio.sleep(120.0)
                a.has_feed = False
                b.serve(OLD, NEW)
                b.begin(f"s{number}", NEW)
                await asyncio.sleep(away)
                a.has_feed = returns
                self.assertIn(await a.find(f"s{number}"), (None, NEW))
                await self.power_off(*names)

    async def test_instance_that_hears_of_a_version_late_reads_what_others_stored(self):
        """Guards against joined text while a batch of the registry is under way."""
        a, b = self.start("a", OLD), self.start("b", OLD)
        await asyncio.sleep(20.0)
        b.serve(OLD, NEW)
        b.begin("s1", NEW)
        await asyncio.sleep(0.3)
        await self.power_off("b")
        self.assertIn("b", self.store.objects)
        self.assertIn(await a.find("s1"), (None, NEW))

    async def test_instance_that_reaches_no_store_answers_no_unknown_stream(self):
        """Guards against joined text at an instance that reads neither servers nor origins."""
        a = self.start("a", OLD)
        await asyncio.sleep(20.0)
        self.store.down = True
        await asyncio.sleep(5.0)
        self.assertIsNone(await a.find("s1"))
        self.store.down = False
        await asyncio.sleep(2.0)
        self.assertEqual(await a.find("s1"), OLD)

    async def test_attempt_with_origins_in_both_ledgers_has_none(self):
        """Guards against joined text where two callers use the same id."""
        a = self.start("a", OLD)
        await asyncio.sleep(5.0)
        a.serve(OLD, NEW)
        a.begin("s1", OLD)
        report = OriginReport({}, {Origin(SERVICE, NEW): (digest_attempt(SERVICE, "s1"),)})
        a.origins.on_reports({"other": report}, is_listing=False)
        self.assertIsNone(a.origins.version_of(SERVICE, "s1"))

    async def test_take_up_during_the_pause_after_a_failed_read_is_read_for(self):
        """Guards against a request to read that is dropped while the reader pauses."""
        a = self.start("a", OLD)
        await asyncio.sleep(5.0)
        a.serve(OLD, NEW)
        a.begin("s1", OLD)
        await asyncio.sleep(1.0)
        b = self.start("b", NEW, has_feed=False)
        self.store.down = True
        self.assertIsNone(await b.find("s1", 0.4))
        self.store.down = False
        await asyncio.sleep(0.4)
        self.assertEqual(await b.find("s1"), OLD)

    async def test_instance_that_returns_late_goes_on_with_streams_of_the_only_version(self):
        """Guards against a minute of refusals after each restart long after a roll-out."""
        a, b = self.start("a", OLD), self.start("b", OLD)
        await asyncio.sleep(5.0)
        self.serve(OLD, NEW)
        b.begin("s1", OLD)
        await asyncio.sleep(1.0)
        await self.power_off("b")
        a.serve(NEW)
        await asyncio.sleep(10 * MIN_RETENTION)
        b = self.start("b", NEW)
        await asyncio.sleep(2.0)
        a.begin("s2", NEW)
        await asyncio.sleep(2.0)
        self.assertEqual(await a.find("s2"), NEW)
        self.assertEqual(await b.find("s2"), NEW)

    async def test_stream_that_began_before_a_second_version_is_known_after_a_crash(self):
        """Guards against refused take-ups when an instance dies just before a roll-out."""
        a, b = self.start("a", OLD), self.start("b", OLD)
        await asyncio.sleep(20.0)
        a.begin("s1", OLD)
        await asyncio.sleep(1.0)
        await self.power_off("a")
        await asyncio.sleep(1.0)
        b.serve(OLD, NEW)
        await asyncio.sleep(1.0)
        self.assertEqual(await b.find("s1"), OLD)


if __name__ == "__main__":
    unittest.main()
