"""Tests of the versions that began streams, as instances keep and share them."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from origin_fleet import LIFETIME, NEW, OLD, SERVICE, OriginFleetCase

from sapphireledge.core.origins import (
    HeardVersions,
    Origin,
    OriginLedger,
    OriginReport,
    VersionSightings,
    digest_attempt,
)
from sapphireledge.errors import Failure
from sapphireledge.feed import FeedSettings, StoredEntry
from sapphireledge.gateway import VERSIONS_REPORT
from sapphireledge.gateway.stream_origins import FIND_WAIT, MAX_OWN_ORIGINS
from sapphireledge.gateway.version_history import MAX_REGISTRY_AGE, MAX_RETENTION, MIN_RETENTION
from sapphireledge.platform.node_settings import REGISTRY_BATCH_DELAY, REGISTRY_WATCH_WAIT
from sapphireledge.platform.store_settings import StoreSettings

STEPS = st.lists(
    st.tuples(
        st.sampled_from(("record", "wait")),
        st.integers(0, 9),
        st.sampled_from((OLD, NEW, "v3")),
        st.floats(0.1, 60.0),
    ),
    max_size=60,
)


class OriginLedgerTest(unittest.TestCase):
    @given(STEPS, st.integers(1, 8))
    @settings(max_examples=300, deadline=None)
    def test_never_answers_a_version_that_did_not_begin_the_stream(self, steps, capacity):
        ledger = OriginLedger(capacity)
        begun: dict[int, set[str]] = {}
        now = 0.0
        for step, digest, version, seconds in steps:
            if step == "wait":
                now += seconds
            else:
                ledger.record(now, digest, Origin(SERVICE, version), now + seconds)
                begun.setdefault(digest, set()).add(version)
            self.assertLessEqual(len(ledger), capacity)
            for known in range(10):
                origin = ledger.find(now, known)
                if origin is not None:
                    self.assertIn(origin.version, begun[known])

    def test_attempt_with_two_origins_has_none(self):
        ledger = OriginLedger(8)
        ledger.record(0.0, 1, Origin(SERVICE, OLD), 10.0)
        ledger.record(1.0, 1, Origin(SERVICE, NEW), 10.0)
        self.assertIsNone(ledger.find(2.0, 1))
        self.assertTrue(ledger.contains(2.0, 1))

    def test_oldest_origins_are_dropped(self):
        ledger = OriginLedger(100)
        for digest in range(10_000):
            ledger.record(0.0, digest, Origin(SERVICE, OLD), 10.0)
        self.assertEqual(len(ledger), 100)
        self.assertIsNone(ledger.find(0.0, 9_899))
        self.assertIsNotNone(ledger.find(0.0, 9_900))

    def test_expired_origins_are_dropped(self):
        ledger = OriginLedger(100)
        for second in range(1000):
            ledger.record(float(second), second, Origin(SERVICE, OLD), second + 5.0)
        self.assertLessEqual(len(ledger), 6)

    def test_digest_tells_services_and_attempts_apart(self):
        digests = {
            digest_attempt(service, attempt)
            for service, attempt in (("a", "b/c"), ("a/b", "c"), ("", "a/b/c"), ("a", "b"))
        }
        self.assertEqual(len(digests), 4)
        self.assertLess(digest_attempt("a", "x" * 1_000_000), 1 << 64)


class VersionSightingsTest(unittest.TestCase):
    def test_sighting_expires_and_number_is_bounded(self):
        sightings = VersionSightings()
        sightings.record(SERVICE, OLD, 10.0)
        sightings.record(SERVICE, OLD, 5.0)
        self.assertEqual(sightings.versions(9.0, SERVICE), {OLD})
        self.assertEqual(sightings.versions(10.0, SERVICE), frozenset())
        self.assertEqual(sightings.services(), frozenset())
        for number in range(1000):
            sightings.record(SERVICE, str(number), 10.0)
        self.assertEqual(len(sightings.versions(0.0, SERVICE)), 64)

    def test_report_that_stays_does_not_keep_a_version_in_force(self):
        heard = HeardVersions()
        report = OriginReport({SERVICE: frozenset({OLD})})
        for second in range(100):
            heard.on_report(float(second), "gone", report)
        self.assertEqual(heard.versions(50.0), {})
        self.assertEqual(heard.versions(-1.0), {SERVICE: {OLD}})
        heard.on_report(100.0, "gone", OriginReport())
        heard.on_report(101.0, "gone", report)
        self.assertEqual(heard.versions(50.0), {SERVICE: {OLD}})
        heard.retain(())
        self.assertEqual(heard.versions(50.0), {})


class OriginReportTest(unittest.TestCase):
    @given(
        st.dictionaries(st.text(max_size=5), st.frozensets(st.text(max_size=5), min_size=1)),
        st.dictionaries(
            st.builds(Origin, st.text(max_size=5), st.text(max_size=5)),
            st.lists(st.integers(0, (1 << 64) - 1), min_size=1, max_size=20).map(tuple),
        ),
    )
    @settings(max_examples=100, deadline=None)
    def test_report_survives_storage(self, versions, origins):
        report = OriginReport(versions, origins)
        self.assertEqual(OriginReport.from_builtins(report.to_builtins()), report)
        self.assertFalse(report.adds_to(report))

    def test_newest_origins_of_a_long_report_are_stored(self):
        origins = {Origin(SERVICE, OLD): tuple(range(5000))}
        stored = OriginReport({}, origins).to_builtins()
        self.assertLess(len(stored["origins"][SERVICE][OLD]), 50_000)
        report = OriginReport.from_builtins(stored)
        self.assertEqual(report.origins[Origin(SERVICE, OLD)], tuple(range(904, 5000)))

    def test_odd_content_is_a_failure(self):
        digest = "AAAAAAAAAAE="
        many = {str(number): [OLD] for number in range(600)}
        for spec in (
            None,
            3,
            [],
            {"versions": 1},
            {"versions": {SERVICE: OLD}},
            {"versions": many},
            {"versions": {SERVICE: [str(number) for number in range(65)]}},
            {"origins": {SERVICE: {OLD: "?"}}},
            {"origins": {SERVICE: {OLD: "AAAA"}}},
            {"origins": {SERVICE: {OLD: [1]}}},
            {"origins": {str(number): {OLD: digest * 10} for number in range(5000)}},
        ):
            self.assertIsInstance(OriginReport.from_builtins(spec), Failure, spec)


class RegistryAgeTest(unittest.TestCase):
    def test_registry_is_confirmed_in_time_while_the_store_answers(self):
        """Guards against take-ups that are refused because watches of servers take their time."""
        feed = FeedSettings((), "", 0)
        held = REGISTRY_WATCH_WAIT + StoreSettings("", 0).watch_slack
        longest = 2 * held + REGISTRY_BATCH_DELAY + feed.long_poll_timeout
        self.assertLess(longest, MAX_REGISTRY_AGE)


class SharedOriginsTest(OriginFleetCase):
    async def mix(self, *names):
        """Starts instances, has them see the new version beside the old one."""
        for name in names:
            self.start(name, OLD)
        await asyncio.sleep(5.0)
        self.serve(OLD, NEW)
        await asyncio.sleep(1.0)
        return [self.instances[name] for name in names]

    async def test_one_version_answers_for_any_stream_with_one_read(self):
        for name in ("a", "b"):
            self.start(name, OLD)
        await asyncio.sleep(20.0)
        calls = self.store.calls.copy()
        for number in range(100):
            self.instances["a"].begin(f"s{number}", OLD)
        self.assertEqual(await self.instances["a"].find("s1"), OLD)
        self.assertEqual(await self.instances["b"].find(""), OLD)
        self.assertEqual(self.store.calls, calls)
        for attempt_id in ("s1", "unknown") * 10:
            self.assertEqual(await self.instances["b"].find(attempt_id), OLD)
        calls["list"] += 1
        await asyncio.sleep(300.0)
        self.assertEqual(self.store.calls, calls)
        self.assertEqual(list(self.store.objects), [VERSIONS_REPORT])
        self.assertFalse(self.instances["a"].origins.is_active)

    async def test_second_version_makes_unknown_streams_unknown(self):
        a, b = await self.mix("a", "b")
        a.begin("s1", OLD)
        a.begin("s2", NEW)
        self.assertEqual(a.origins.version_of(SERVICE, "s2"), NEW)
        self.assertEqual(await b.find("s1"), OLD)
        self.assertEqual(await b.find("s2"), NEW)
        self.assertIsNone(await b.find("s3"))
        self.assertIsNone(await b.find(""))

    async def test_stream_that_began_before_the_versions_were_mixed_is_known(self):
        a, b = self.start("a", OLD), self.start("b", OLD)
        await asyncio.sleep(5.0)
        a.begin("s1", OLD)
        self.serve(OLD, NEW)
        await asyncio.sleep(1.0)
        await self.power_off("a")
        self.assertEqual(await b.find("s1"), OLD)

    async def lose_power_and_the_old_version(self):
        a, _ = await self.mix("a", "b")
        a.begin("known", OLD)
        await asyncio.sleep(1.0)
        await self.power_off()
        self.start("a", NEW)
        return self.start("b", NEW)

    async def test_streams_of_a_version_that_left_during_a_loss_of_power_stay_its_own(self):
        b = await self.lose_power_and_the_old_version()
        self.assertEqual(await b.find("known"), OLD)
        self.assertIsNone(await b.find("unknown"))
        self.assertIsNone(await b.find(""))

    async def test_version_that_left_during_a_loss_of_power_is_not_known_without_the_store(self):
        """Shows what the stored reports are for: the same instances, and a store that forgets."""
        self.store.keeps_objects = False
        b = await self.lose_power_and_the_old_version()
        self.assertEqual(await b.find("known"), NEW)

    async def test_only_version_that_was_replaced_during_a_loss_of_power_is_remembered(self):
        self.start("a", OLD)
        await asyncio.sleep(5.0)
        self.instances["a"].begin("s1", OLD)
        await self.power_off()
        a = self.start("a", NEW)
        self.assertIsNone(await a.find("s1"))
        await asyncio.sleep(MIN_RETENTION + 5.0)
        self.assertEqual(await a.find("s1"), NEW)
        self.assertEqual(self.store.objects[VERSIONS_REPORT][0]["versions"], {SERVICE: [NEW]})

    async def test_second_loss_of_power_keeps_the_origins(self):
        a, b = await self.mix("a", "b")
        a.begin("s1", OLD)
        b.begin("s2", NEW)
        await asyncio.sleep(1.0)
        for _ in range(3):
            await self.power_off()
            a, b = self.start("a", NEW), self.start("b", NEW)
            await asyncio.sleep(2.0)
            b.begin("s3", NEW)
            await asyncio.sleep(0.5)
        await self.power_off()
        c = self.start("c", NEW)
        self.assertEqual([await c.find(f"s{n}") for n in (1, 2, 3, 4)], [OLD, NEW, NEW, None])

    async def test_instance_that_starts_answers_nothing_before_it_has_read(self):
        a = self.start("a", OLD)
        self.assertIsNone(a.origins.version_of(SERVICE, "s1"))
        started = asyncio.get_running_loop().time()
        self.assertEqual(await a.find("s1"), OLD)
        self.assertLess(asyncio.get_running_loop().time() - started, FIND_WAIT)

    async def test_take_up_reads_the_store_if_the_feed_delivers_nothing(self):
        a = (await self.mix("a"))[0]
        a.begin("s1", OLD)
        await asyncio.sleep(1.0)
        b = self.start("b", NEW, has_feed=False)
        b.origins.on_registry_confirmed(asyncio.get_running_loop().time())
        self.assertEqual(await b.find("s1"), OLD)
        self.assertIsNone(await b.find("s2"))
        self.assertLessEqual(self.store.calls["list"], 2)

    async def test_take_up_ends_its_wait_without_a_store(self):
        a = (await self.mix("a"))[0]
        self.store.down = True
        loop = asyncio.get_running_loop()
        for time_left, longest in ((LIFETIME, FIND_WAIT), (1.0, 0.25)):
            started = loop.time()
            self.assertIsNone(await a.find("s1", time_left))
            self.assertLessEqual(loop.time() - started, longest + 0.001)

    async def test_instance_that_does_not_hear_of_servers_answers_only_what_it_recorded(self):
        """Guards against an instance cut from the store that misses a new version."""
        a = self.start("a", OLD)
        await asyncio.sleep(5.0)
        a.begin("s1", OLD)
        a.has_feed = False
        await asyncio.sleep(MAX_REGISTRY_AGE + 1.0)
        self.assertEqual(await a.find("s1"), OLD)
        self.assertIsNone(await a.find("s2"))
        a.has_feed = True
        await asyncio.sleep(2.0)
        self.assertEqual(await a.find("s2"), OLD)

    async def test_versions_of_servers_that_left_count_until_take_ups_are_over(self):
        a = (await self.mix("a"))[0]
        a.serve(NEW)
        await asyncio.sleep(MIN_RETENTION - 2.0)
        self.assertIsNone(await a.find("s1"))
        await asyncio.sleep(5.0)
        self.assertEqual(await a.find("s1"), NEW)

    async def test_long_lifetime_keeps_versions_longer(self):
        a = (await self.mix("a"))[0]
        a.begin("s1", OLD, lifetime=200.0)
        a.serve(NEW)
        await asyncio.sleep(190.0)
        self.assertEqual(await a.find("s1"), OLD)
        self.assertIsNone(await a.find("s2"))
        await asyncio.sleep(20.0)
        self.assertEqual(await a.find("s2"), NEW)

    async def test_one_long_lifetime_does_not_keep_versions_for_good(self):
        """Guards against a caller with a long deadline that makes each roll-out last longer."""
        a = self.start("a", OLD)
        a.begin("s1", OLD, lifetime=1e9)
        self.assertEqual(a.origins.history.retention, MAX_RETENTION)
        await asyncio.sleep(MAX_RETENTION + 1.0)
        self.assertEqual(a.origins.history.retention, MIN_RETENTION)

    async def test_reports_are_emptied_once_and_the_store_is_left_alone(self):
        """Guards against reports of instances that are gone, which make the others write."""
        a, b, gone = await self.mix("a", "b", "gone")
        for instance in (a, b, gone):
            instance.begin(instance.name, OLD)
        await asyncio.sleep(1.0)
        await self.power_off("gone")
        self.serve(NEW)
        await asyncio.sleep(MIN_RETENTION + 20.0)
        self.assertEqual(self.store.objects["a"][0], {})
        self.assertEqual(self.store.objects["b"][0], {})
        self.assertEqual(self.store.objects[VERSIONS_REPORT][0]["versions"], {SERVICE: [NEW]})
        calls = self.store.calls.copy()
        await asyncio.sleep(600.0)
        self.assertEqual(self.store.calls, calls)
        # An instance that reads the report of the one that is gone does not begin anew for ever.
        self.start("c", NEW)
        await asyncio.sleep(MIN_RETENTION + 20.0)
        calls = self.store.calls.copy()
        await asyncio.sleep(600.0)
        self.assertEqual(self.store.calls, calls)
        self.assertEqual(await self.instances["c"].find("s9"), NEW)

    async def test_own_records_are_bounded(self):
        a = (await self.mix("a"))[0]
        for number in range(MAX_OWN_ORIGINS + 100):
            a.begin(f"{number}" * 100, OLD)
        self.assertEqual(len(a.origins._own), MAX_OWN_ORIGINS)
        self.assertIsNone(a.origins.version_of(SERVICE, "0" * 100))

    async def test_writes_are_coalesced(self):
        a = (await self.mix("a"))[0]
        await asyncio.sleep(5.0)
        before = self.store.calls["write"]
        for number in range(300):
            a.begin(f"s{number}", OLD)
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        self.assertLessEqual(self.store.calls["write"] - before, 12)
        await self.power_off()
        b = self.start("b", NEW)
        self.assertEqual(await b.find("s0"), OLD)
        self.assertEqual(await b.find("s299"), OLD)

    async def test_first_origin_after_a_pause_is_written_at_once(self):
        a, _ = await self.mix("a", "b")
        await asyncio.sleep(5.0)
        a.begin("s1", OLD)
        await asyncio.sleep(0.05)
        await self.power_off()
        self.assertEqual(await self.start("b", NEW).find("s1"), OLD)

    async def test_store_that_is_away_or_loses_answers_delays_a_report(self):
        a, b = await self.mix("a", "b")
        self.store.down = True
        a.begin("s1", OLD)
        await asyncio.sleep(10.0)
        self.store.down = False
        self.store.lose_answers = True
        await asyncio.sleep(5.0)
        await self.power_off("a")
        self.assertEqual(await b.find("s1"), OLD)

    async def test_restored_store_is_written_again(self):
        a, b = await self.mix("a", "b")
        a.begin("s1", OLD)
        await asyncio.sleep(1.0)
        self.store.objects.clear()
        for instance in (a, b):
            instance.writer.on_store_restored()
            instance.listener.on_store_restored()
        await asyncio.sleep(2.0)
        await self.power_off()
        b = self.start("b", NEW)
        self.assertEqual(await b.find("s1"), OLD)
        self.assertIsNone(await b.find("s2"))

    async def test_restored_store_gets_the_versions_in_use_again(self):
        a = self.start("a", OLD)
        await asyncio.sleep(5.0)
        self.store.objects.clear()
        a.writer.on_store_restored()
        a.listener.on_store_restored()
        await asyncio.sleep(5.0)
        self.assertEqual(self.store.objects[VERSIONS_REPORT][0]["versions"], {SERVICE: [OLD]})

    async def test_odd_reports_affect_nothing_else(self):
        a, b = await self.mix("a", "b")
        for spec in (None, 3, {"versions": 1}, {"origins": {SERVICE: {OLD: "?"}}}):
            b.listener.apply([StoredEntry("odd", spec), StoredEntry(VERSIONS_REPORT, spec)])
        self.store.objects["a"] = ("odd", 7)
        a.writer._revision = None
        a.begin("s1", OLD)
        self.assertEqual(await b.find("s1"), OLD)

    async def test_instance_without_streams_does_not_repeat_what_others_have_stored(self):
        await self.mix(*(f"i{number}" for number in range(20)))
        self.instances["i0"].begin("s1", OLD)
        await asyncio.sleep(5.0)
        self.assertLess(len(self.store.objects), 22)
        before = self.store.calls["write"]
        await asyncio.sleep(30.0)
        self.assertEqual(self.store.calls["write"], before)

    async def test_service_whose_streams_cannot_be_taken_up_is_not_followed(self):
        a = self.start("a", OLD)
        a.origins.on_config({})
        await asyncio.sleep(5.0)
        a.serve(OLD, NEW)
        a.begin("s1", OLD)
        await asyncio.sleep(5.0)
        self.assertEqual(self.store.objects, {})
        self.assertFalse(a.origins.is_active)


if __name__ == "__main__":
    unittest.main()
