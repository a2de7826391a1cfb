"""Tests that a stream goes on only at engines of the software version that began it."""

from __future__ import annotations

import asyncio
import unittest

from gateway_case import HOST, chunk, event, stream_head
from versioned_engines import VersionedCase

from sapphireledge.core.backpressure import ServerSignals
from sapphireledge.core.continuation import ContinuationRule, TakeUpDecision, decide_take_up
from sapphireledge.gateway import BackendServer
from sapphireledge.gateway.engine_looks import EngineLooks
from sapphireledge.gateway.explain_known_looks import KnownLooks


class DecisionTest(unittest.TestCase):
    def test_only_the_same_text_is_the_same_version(self):
        self.assertTrue(ContinuationRule("2.1").permits("2.1"))
        self.assertFalse(ContinuationRule("2.1").permits("2.10"))
        self.assertFalse(ContinuationRule("2.1").permits(""))
        self.assertFalse(ContinuationRule("").permits("2.1"))
        self.assertTrue(ContinuationRule("").permits(""))

    def test_withdrawn_version_permits_no_server(self):
        self.assertFalse(ContinuationRule("2.1", is_withdrawn=True).permits("2.1"))

    def test_take_up(self):
        for rule, versions, expected in (
            (None, ["1"], TakeUpDecision.UNKNOWN),
            (None, [], TakeUpDecision.UNKNOWN),
            (ContinuationRule("1"), ["2", "1"], TakeUpDecision.CONTINUED),
            (ContinuationRule("1"), ["2"], TakeUpDecision.GONE),
            (ContinuationRule("1"), [], TakeUpDecision.GONE),
            (ContinuationRule("1", is_withdrawn=True), ["1"], TakeUpDecision.GONE),
        ):
            self.assertIs(decide_take_up(rule, versions), expected)


class WithinAnswerTest(VersionedCase):
    """Guards against an answer with events of two versions, while servers of both serve."""

    async def test_broken_stream_goes_on_at_its_version(self):
        for version in ("v1", "v2") * 2:
            await self.add_engine(version, breaks_after=3)
        for _ in range(3):
            self.visits.clear()
            self.assert_whole(await self.call("/stream/x"))
            versions = {visit.version for visit in self.visits}
            self.assertEqual([visit.first for visit in self.visits], [0, 3])
            self.assertEqual(len(versions), 1, self.visits)

    async def test_stream_without_an_engine_of_its_version_ends_incomplete(self):
        await self.add_engine("v1", breaks_after=2, leaves=True)
        for _ in range(2):
            await self.add_engine("v2", data_centre="dc-b")
        response = await self.call("/stream/x")
        self.assertEqual((response.status, response.complete), (200, False))
        self.assertEqual(response.body, event(0) + event(1))
        self.assertEqual(self.places(), [("v1", 0)])

    async def test_stream_without_an_event_goes_to_any_version(self):
        await self.add_engine("v1", breaks_after=0, leaves=True)
        for _ in range(2):
            await self.add_engine("v2", data_centre="dc-b")
        self.assert_whole(await self.call("/stream/x"))
        self.assertEqual(self.places(), [("v1", 0), ("v2", 0)])

    async def test_engine_without_a_version_does_not_continue_a_stream_of_one(self):
        await self.add_engine("v1", breaks_after=2, leaves=True)
        await self.add_engine("", data_centre="dc-b")
        response = await self.call("/stream/x")
        self.assertFalse(response.complete)
        self.assertEqual(self.places(), [("v1", 0)])

    async def test_standby_has_the_version_of_the_running_engine(self):
        for version in ("v1", "v2") * 4:
            await self.add_engine(version, data_centre=f"dc-{'ab'[version == 'v2']}")
        for _ in range(8):
            self.assert_whole(await self.call("/stream/x"))
        self.assertEqual(
            {(v.version, v.standby) for v in self.visits if v.version == "v1"}, {("v1", "v1")}
        )
        self.assertLessEqual(
            {(v.version, v.standby) for v in self.visits}, {("v1", "v1"), ("v2", "v2")}
        )

    async def test_stalled_stream_is_kept_if_no_other_engine_has_its_version(self):
        """Guards against giving up a run that cannot go on anywhere."""
        release = asyncio.Event()

        async def stall(request, writer):
            writer.write(stream_head(request) + chunk(event(0)))
            await writer.drain()
            await release.wait()
            writer.write(b"".join(chunk(event(n)) for n in range(1, 6)) + b"0\r\n\r\n")

        server = await self.add("llm", stall)
        self.put(server, version="v1")
        await self.add_engine("v2", data_centre="dc-b")
        task = asyncio.create_task(self.call("/stream/x"))
        await asyncio.sleep(1.5)
        release.set()
        self.assert_whole(await task)
        self.assertEqual(self.places(), [])


class WaitingTest(VersionedCase):
    async def test_stream_that_waits_finds_the_only_engine_of_its_version(self):
        """Guards against a stream that waits in line and is offered other versions only."""
        await self.add_engine("v1", breaks_after=2, leaves=True)
        last = await self.add_engine("v1", data_centre="dc-b")
        for _ in range(12):
            await self.add_engine("v2", data_centre="dc-b")
        now = asyncio.get_running_loop().time()
        self.registry.on_response(now, last.server_id, ServerSignals(pause=0.8), 1)
        self.assert_whole(await self.call("/stream/x"))
        self.assertEqual(self.places(), [("v1", 0), ("v1", 2)])
        self.assertGreaterEqual(asyncio.get_running_loop().time() - now, 0.8)

    async def test_each_look_of_the_line_has_engines_of_the_versions_that_wait(self):
        context = self.gateway.context
        for number in range(40):
            version = {0: "v1", 1: "v3"}.get(number, "v2")
            server = BackendServer(f"s{number}", "llm", HOST, 1, "dc-b", version=version)
            context.registry.put(server)
        looks = EngineLooks(context, KnownLooks(lambda _: None))
        for round_ in range(1, 20):
            origins = frozenset({"v1", "v2", "v3"})
            look = await looks.look_for_line("llm", round_, frozenset(), origins)
            names = [server.server_id for server in look.candidates]
            self.assertEqual(len({*names}), len(names))
            self.assertLessEqual({"s0", "s1"}, {*names})
            self.assertLess(len(names), 10)


if __name__ == "__main__":
    unittest.main()
