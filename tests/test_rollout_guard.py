"""Tests of the selection of servers by version, and of what attempts say about a version."""

from __future__ import annotations

import asyncio
import time
import unittest
from functools import partial
from unittest import mock

import msgspec
from feed_changes import list_changes
from gateway_case import HOST, PLAIN_ROUTE, STREAM_ROUTE, GatewayCase, signed_response, table

from sapphireledge.core.quarantine import DeathRecord
from sapphireledge.core.rollout import (
    AnswerQuality,
    RolloutDecision,
    RolloutLimits,
    RolloutOrder,
    RolloutStage,
    RolloutState,
    VersionChoice,
    VersionRule,
)
from sapphireledge.feed import (
    FeedSettings,
    KindActivity,
    KindFeed,
    KindSettings,
    KindWatcher,
    SourceError,
    StoredEntry,
    StoredVersion,
)
from sapphireledge.feed.feed_message import FeedEntry, KindReply
from sapphireledge.feed.follower_names import FollowerNames
from sapphireledge.feed.object_record import ObjectRecord
from sapphireledge.feed.store_page import StorePage
from sapphireledge.gateway import (
    BackendServer,
    CallerRequest,
    Gateway,
    GatewayMetrics,
    GatewaySettings,
    RequestTelemetry,
    RolloutGuard,
    ServiceProfile,
    StoredOrder,
)
from sapphireledge.gateway.admitted_request import AdmittedRequest
from sapphireledge.gateway.attempt_progress import AttemptProgress
from sapphireledge.gateway.judge_attempt import compare_seconds, judge_attempt
from sapphireledge.gateway.loop_lag import LoopLag
from sapphireledge.gateway.outcome import Outcome, OutcomeKind
from sapphireledge.gateway.response_head import ResponseHead
from sapphireledge.gateway.rollout_attempt import RolloutAttempt
from sapphireledge.platform.decode_rollout import decode_rollout
from sapphireledge.platform.decode_server import decode_server
from sapphireledge.platform.platform_dialect import PlatformDialect
from sapphireledge.platform.rollout_status_writer import RolloutStatusWriter

SETTINGS = GatewaySettings("e1", "dc-a", HOST, 0, HOST, 0, 0, 3.8, 8.0, rollout=RolloutLimits())
CFG = FeedSettings(kinds=(), host=HOST, port=1, start_pause=0.02)


class FixedRollout:
    """A roll-out with a fixed choice that records what it is told."""

    def __init__(self, choice: VersionChoice) -> None:
        self.order = RolloutOrder("app", "v2", 10.0, "1")
        self.choice = choice
        self.retries: list[bool] = []
        self.sent: list[tuple[str, bool]] = []
        self.results: list[tuple[str, AnswerQuality]] = []

    def choose(self, now, *, may_repeat, is_stream, is_retry):
        self.retries.append(is_retry)
        return VersionRule("v2", VersionChoice.OLD_ONLY if is_retry else self.choice)

    def on_sent(self, now, route, version, *, is_retry=False):
        self.sent.append((version, is_retry))

    def still_permits(self, now, version):
        return VersionRule("v2", self.choice).permits(version)

    def on_result(self, now, route, version, result, seconds, *, server=""):
        self.results.append((version, result))

    def on_withdrawn(self, route, version, *, is_retry=False):
        self.sent.remove((version, is_retry))


class SelectionTest(GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.gateway.context.rollouts = RolloutGuard(
            SETTINGS, self.gateway.context.registry, self.gateway.context.telemetry.rollouts
        )
        self.received: list[str] = []

    async def add_version(self, version: str, status: int = 200, service: str = "app") -> None:
        """Starts a server of a version."""

        async def answer(request, writer):
            self.received.append(version)
            writer.write(signed_response(request, status=status))
            await writer.drain()

        server = await self.add(service, answer)
        self.gateway.context.registry.put(
            BackendServer(server.server_id, service, HOST, server.port, "dc-a", version=version)
        )
        self.gateway.context.rollouts.on_servers_changed()

    def begin(self, choice: VersionChoice) -> FixedRollout:
        """Puts an order with a fixed choice in force."""
        rollouts = self.gateway.context.rollouts
        order = RolloutOrder("app", "v2", 10.0, "1")
        rollouts.on_order(StoredOrder(order, RolloutState.RUNNING, 1))
        rollout = FixedRollout(choice)
        rollouts._versions("app").rollout = rollout
        return rollout

    async def test_version_that_no_order_names_takes_nothing(self):
        await self.add_version("v1")
        await self.add_version("v2")
        await self.add_version("")
        for _ in range(8):
            await self.call("/plain/x")
        self.assertEqual({*self.received}, {"v1", ""})

    async def test_choice_of_the_order_holds_for_first_sends(self):
        await self.add_version("v1")
        await self.add_version("v2")
        for choice, expected in (
            (VersionChoice.OLD_ONLY, {"v1"}),
            (VersionChoice.NEW_ONLY, {"v2"}),
            (VersionChoice.OLD_FIRST, {"v1"}),
            (VersionChoice.NEW_FIRST, {"v2"}),
        ):
            self.begin(choice)
            self.received.clear()
            for _ in range(4):
                await self.call("/plain/x")
            self.assertEqual({*self.received}, expected, choice)

    async def test_retry_goes_to_the_old_version(self):
        """Guards against retries that raise the exposure."""
        await self.add_version("v1")
        await self.add_version("v2", 500)
        await self.add_version("v2", 500)
        rollout = self.begin(VersionChoice.NEW_FIRST)
        response = await self.call("/plain/x")
        self.assertEqual((response.status, self.received), (200, ["v2", "v1"]))
        self.assertEqual(rollout.sent, [("v2", False), ("v1", True)])
        self.assertEqual(
            rollout.results, [("v2", AnswerQuality.FAILED), ("v1", AnswerQuality.GOOD)]
        )

    async def test_verdict_while_an_attempt_connects(self):
        """Guards against a request that reaches a version after it was condemned, and against one
        that is refused because it was not sent."""
        await self.add_version("v1")
        await self.add_version("v2")
        acquire = self.gateway.context.pool.acquire

        async def acquire_late(*args, **kwargs):
            conn = await acquire(*args, **kwargs)
            rollout.choice = VersionChoice.OLD_ONLY
            return conn

        for path in ("/plain/x", "/once/x"):
            rollout = self.begin(VersionChoice.NEW_FIRST)
            with mock.patch.object(self.gateway.context.pool, "acquire", acquire_late):
                response = await self.call(path)
            self.assertEqual((response.status, self.received), (200, ["v1"]), path)
            self.assertEqual([version for version, _ in rollout.sent], ["v1"])
            self.received.clear()
        states = [self.gateway.context.registry.state(s.server_id) for s in self.servers]
        self.assertEqual([state.failure_rate for state in states], [0.0, 0.0])

    async def test_failures_of_a_judged_version_do_not_count_at_its_servers(self):
        """Guards against a version that gets fewer requests than its share because of failures
        that are held against the version already."""
        await self.add_version("v1", 500)
        await self.add_version("v2", 500)
        self.begin(VersionChoice.NEW_FIRST)
        await self.call("/once/x")
        self.begin(VersionChoice.OLD_ONLY)
        await self.call("/once/x")
        rates = [
            self.gateway.context.registry.state(server.server_id).failure_rate
            for server in self.servers
        ]
        self.assertGreater(rates[0], 0.0)
        self.assertEqual(rates[1], 0.0)

    async def test_attempts_in_flight_count_for_an_order_that_begins(self):
        """Guards against a completion while requests from before the order run."""
        release = asyncio.Event()

        async def answer(request, writer):
            await release.wait()
            writer.write(signed_response(request))

        server = await self.add("app", answer)
        self.gateway.context.registry.put(
            BackendServer(server.server_id, "app", HOST, server.port, "dc-a", version="v1")
        )
        call = asyncio.create_task(self.call("/once/x"))
        while not server.received:
            await asyncio.sleep(0.001)
        rollouts = self.gateway.context.rollouts
        order = RolloutOrder("app", "v2", 10.0, "1")
        rollouts.on_order(StoredOrder(order, None, 1))
        rollouts.tick()
        self.assertEqual(rollouts.due_reports()["app"].old_in_flight, 1)
        release.set()
        await call
        self.assertEqual(rollouts._versions("app").rollout.report(0.0).old_in_flight, 0)

    async def test_final_status_lost_by_a_restored_store_is_written_again(self):
        rollouts = self.gateway.context.rollouts
        order = RolloutOrder("app", "v2", 10.0, "1")
        rollouts.on_order(StoredOrder(order, RolloutState.ROLLED_BACK, 9))
        rollouts.on_order(StoredOrder(order, None, 5))
        self.assertEqual(rollouts.wanted_states(), {})
        rollouts.on_store_restored()
        rollouts.on_order(StoredOrder(order, None, 5))
        self.assertEqual(rollouts.wanted_states()["app"][1], RolloutState.ROLLED_BACK)

    async def test_order_for_the_version_in_use_stops_nothing(self):
        """Guards against an order without another version, which left no server to use."""
        await self.add_version("v2")
        self.begin(VersionChoice.OLD_ONLY)
        await self.call("/plain/x")
        await self.add_version("v1")
        await self.call("/plain/x")
        self.assertEqual(self.received, ["v2", "v1"])

    async def test_order_for_the_version_in_use_is_completed_whatever_its_answers_are(self):
        """Guards against a rollback that stops the only servers."""
        await self.add_version("v2")
        for number, (interval, bad_interval) in enumerate(((1, 1), (5, 2), (5, 4), (10, 2))):
            with self.subTest(interval=interval, bad_interval=bad_interval):
                order = RolloutOrder("app", "v2", 60.0, str(number))
                self.gateway.context.rollouts.on_order(StoredOrder(order, None, number))
                states = self.play(range(interval, 300, interval), bad_interval)
                self.assertEqual(states, {RolloutState.RUNNING, RolloutState.COMPLETED})

    def play(self, sent: range, bad_interval: int) -> set[RolloutState]:
        """Evaluates the order for 60 s; returns the states that its status should have had."""
        rollouts = self.gateway.context.rollouts
        rollout, start = rollouts._versions("app").rollout, time.monotonic()
        states = set()
        for step in range(1, 300):
            now = start + 0.2 * step
            if step in sent:
                is_bad = step // sent.step % bad_interval == 0
                quality = AnswerQuality.FAILED if is_bad else AnswerQuality.GOOD
                rollout.on_sent(now, "r", "v2")
                rollout.on_result(now, "r", "v2", quality, 0.05, server=f"s{step % 4}")
            if rollout.is_report_due(now):
                rollout.on_report_written(now, rollout.report(now).sequence)
            rollouts.on_orders_confirmed(now)
            rollouts.on_reports_confirmed(now)
            with mock.patch.object(asyncio.get_running_loop(), "time", lambda now=now: now):
                rollouts.tick()
            states.add(rollouts.wanted_states()["app"][1])
        return states

    async def test_version_that_was_completed_stays_in_use_if_it_is_ordered_again(self):
        """Guards against requests to old servers that are about to stop."""
        await self.add_version("v2")
        await self.add_version("v1")
        rollouts = self.gateway.context.rollouts
        for order_id, state in (("1", RolloutState.COMPLETED), ("2", None)):
            order = RolloutOrder("app", "v2", 10.0, order_id)
            rollouts.on_order(StoredOrder(order, state, int(order_id)))
        for _ in range(4):
            await self.call("/plain/x")
        self.assertEqual({*self.received}, {"v2"})

    async def test_version_stays_in_use_if_its_completion_and_the_next_order_come_at_once(self):
        """Guards against an instance that misses the completion and gives its requests to servers
        that have stopped."""
        await self.add_version("v2")
        await self.add_version("v1")
        rollouts = self.gateway.context.rollouts
        completed = {"state": "completed", "target": "v2", "order": "3/v2/60"}
        running = {"state": "running", "target": "v2", "order": "3/v2/90"}
        for duration, status in ((60, None), (90, completed), (90, running), (120, running)):
            spec = {"service": "app", "target": "v2", "duration_s": duration}
            rollouts.on_order(decode_rollout("app", spec, status, 1, 3))
            if status is not None:
                self.assertEqual(rollouts._versions("app").version_in_use, "v2", duration)
        for _ in range(4):
            await self.call("/plain/x")
        self.assertEqual({*self.received}, {"v2"})

    async def test_version_in_use_is_no_target_that_was_listed_before_its_order(self):
        """Guards against an instance that starts late and takes the majority for the old one."""
        await self.add_version("v2")
        await self.add_version("v2")
        await self.add_version("v1")
        self.begin(VersionChoice.OLD_ONLY)
        for _ in range(4):
            await self.call("/plain/x")
        self.assertEqual({*self.received}, {"v1"})

    async def test_rolled_back_version_is_not_in_use_after_a_restart(self):
        """Guards against an instance that starts while the servers of a bad version still drain."""
        await self.add_version("v2")
        await self.add_version("v2")
        await self.add_version("v1")
        order = RolloutOrder("app", "v2", 10.0, "1")
        rollouts = self.gateway.context.rollouts
        rollouts.on_order(StoredOrder(order, RolloutState.ROLLED_BACK, 1))
        for _ in range(4):
            await self.call("/plain/x")
        self.assertEqual({*self.received}, {"v1"})

    async def test_streams_that_cannot_move_do_not_keep_others(self):
        """Guards against old servers that stop while streams on them could have moved."""
        rollout = self.begin(VersionChoice.NEW_ONLY)
        decision = RolloutDecision(RolloutStage.FINISH, 1.0, None, "", {}, True)
        rollout.decide = lambda now, *, has_choice: decision
        versions = self.gateway.context.rollouts._versions("app")
        old = BackendServer("s", "app", HOST, 1, "dc-a", version="v1")
        moved = []

        def move(number):
            can_move = number % 4 == 3
            if can_move:
                moved.append(number)
            return can_move

        for number in range(8):
            versions.attempts.add(RolloutAttempt("r", old, 0.0, partial(move, number)))
        self.gateway.context.rollouts.tick()
        self.assertEqual(sorted(moved), [3, 7])


class FollowerNamesTest(unittest.TestCase):
    def test_long_names_are_not_kept(self):
        """Guards against memory that senders of long names choose."""
        followers = FollowerNames()
        for length in (0, 128, 129):
            followers.on_request(1.0, "e" * length)
        self.assertEqual(followers.current(1.0), {"e" * 128})


class JudgeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        telemetry = RequestTelemetry(GatewayMetrics())
        self.context = Gateway(SETTINGS, PlatformDialect(), telemetry).context
        self.server = BackendServer("s", "app", HOST, 1, "dc-a", version="v2")
        self.admitted = self.admit(PLAIN_ROUTE)
        self.attempt = AttemptProgress(self.context.crashes, "0", runs_at_once=True)
        self.attempt.on_sent()

    def admit(self, route):
        now = asyncio.get_running_loop().time()
        request = CallerRequest(b"GET", b"/x", "h", (), b"", now, "r")
        return AdmittedRequest(request, route, ServiceProfile("app"), "w", 0, 1)

    def judge(self, outcome, seconds=0.1):
        return judge_attempt(self.context.crashes, self.admitted, outcome, self.attempt, seconds)

    def outcome(self, kind, status=200, **fields):
        head = ResponseHead(status, (), "r", False, True, False, None, False)
        return Outcome(kind, self.server, "", head, **fields)

    async def test_ends_of_attempts(self):
        """Guards against servers that are full, callers that leave or streams that move counting
        against a version, and against slow servers that do not count."""
        kind = OutcomeKind
        for outcome, seconds, expected in (
            (self.outcome(kind.ANSWERED), 0.1, AnswerQuality.GOOD),
            (self.outcome(kind.ANSWERED, 404), 0.1, AnswerQuality.FAILED),
            (self.outcome(kind.FAILED, 500), 0.1, AnswerQuality.FAILED),
            (self.outcome(kind.NOT_EXECUTED, 503), 0.1, AnswerQuality.UNKNOWN),
            (self.outcome(kind.LOST), 0.1, AnswerQuality.FAILED),
            (self.outcome(kind.LOST, is_moved=True), 0.1, AnswerQuality.UNKNOWN),
            (self.outcome(kind.OUT_OF_TIME), 0.1, AnswerQuality.UNKNOWN),
            (self.outcome(kind.OUT_OF_TIME), 3.0, AnswerQuality.FAILED),
            (None, 0.1, AnswerQuality.UNKNOWN),
            (None, 3.0, AnswerQuality.FAILED),
        ):
            self.assertEqual(self.judge(outcome, seconds), expected, (outcome, seconds))

    async def test_crash_by_content_is_not_the_version(self):
        """Guards against a sound version that is rolled back because of a request that crashes
        every server."""
        crashes = self.context.crashes
        fingerprint = crashes.fingerprint(self.admitted)
        for number in range(3):
            at = time.time() - 10.0 + 2.0 * number
            crashes.quarantine.on_engine_death(
                time.time(),
                DeathRecord(f"e{number}", "1", at, (fingerprint,), begun={fingerprint: ()}),
            )
        lost = self.outcome(OutcomeKind.LOST, connection_lost=True)
        self.assertEqual(self.judge(lost), AnswerQuality.UNKNOWN)

    async def test_compared_time(self):
        now = asyncio.get_running_loop().time()
        stream = self.admit(STREAM_ROUTE)
        self.attempt.sent_at = now - 3.0
        self.assertAlmostEqual(compare_seconds(self.admitted, self.attempt, 1, now), 3.0)
        self.assertIsNone(compare_seconds(stream, self.attempt, 1, now))
        self.attempt.events = 11
        self.attempt.first_event_at, self.attempt.last_event_at = now - 2.0, now - 1.0
        self.assertAlmostEqual(compare_seconds(stream, self.attempt, 1, now), 1.0 + 50 * 0.1)
        self.assertIsNone(compare_seconds(stream, self.attempt, 2, now))


class LongestAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_schedule_depends_on_the_routes_of_the_service(self):
        """Guards against an early move, after which a late fault is not found in time."""
        gateway = Gateway(SETTINGS, PlatformDialect(), RequestTelemetry(GatewayMetrics()))
        gateway.config.accept(table())
        guard = gateway.context.rollouts
        for service in ("app", "llm", "other"):
            guard.on_order(StoredOrder(RolloutOrder(service, "v2", 120.0, "1"), None, 1))
        longest = [
            guard._versions(service).rollout.limits.longest_answer
            for service in ("app", "llm", "other")
        ]
        self.assertEqual(longest, [2.0, 8.0, SETTINGS.rollout.longest_answer])


class StatusWriterTest(unittest.IsolatedAsyncioTestCase):
    async def write(self, *answers: object) -> tuple[list[object], RolloutGuard]:
        """Lets a writer write the status of an order; returns its calls and what it learnt."""
        store = StatusStore(answers)
        context = Gateway(SETTINGS, PlatformDialect(), RequestTelemetry(GatewayMetrics())).context
        guard = context.rollouts
        guard.on_order(StoredOrder(RolloutOrder("app", "v2", 9.0, "3/v2/9"), None, 7))
        writer = RolloutStatusWriter(store, guard, lambda: 1)
        task = asyncio.create_task(writer.run())
        async with asyncio.timeout(5.0):
            while store.answers:
                await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        task.cancel()
        return store.calls, guard

    async def test_write_without_response_is_followed_by_a_read(self):
        """Guards against a status that is given up, or overwrites that of another instance."""
        stored = version(9, {"state": "rolled_back", "target": "v2"})
        calls, guard = await self.write(SourceError("lost"), stored)
        self.assertEqual(calls, [("running", 7), "read"])
        self.assertEqual(guard.wanted_states(), {})

    async def test_write_without_response_that_is_done_after_the_read(self):
        """Guards against a second status once the store executes the first write late."""
        running = {"state": "running", "target": "v2"}
        calls, guard = await self.write(
            SourceError("lost"), version(7, None), version(8, running, written=False)
        )
        self.assertEqual(calls, [("running", 7), "read", ("running", 7)])
        self.assertEqual(guard.wanted_states(), {})

    async def test_status_is_written_again_if_the_order_changed_only_in_its_revision(self):
        calls, _ = await self.write(
            version(9, None, written=False), version(10, {"state": "running", "target": "v2"})
        )
        self.assertEqual(calls, [("running", 7), ("running", 9)])

    async def test_removed_order_gets_no_status(self):
        calls, guard = await self.write(None)
        self.assertEqual((calls, guard.wanted_states()), ([("running", 7)], {}))


class StatusStore:
    """Store that gives scripted answers to the calls of a status writer."""

    def __init__(self, answers) -> None:
        self.answers = list(answers)
        self.calls: list[object] = []

    async def write_status(self, kind, name, status, revision):
        self.calls.append((status["state"], revision))
        return self._answer()

    async def read(self, kind, name):
        self.calls.append("read")
        return self._answer()

    def close(self) -> None:
        pass

    def _answer(self):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def version(revision: int, status: object, written: bool = True) -> StoredVersion:
    spec = {"service": "app", "target": "v2", "duration_s": 9}
    return StoredVersion(spec, revision, written, status, 3)


class LoopLagTest(unittest.IsolatedAsyncioTestCase):
    async def test_times_are_not_compared_while_the_process_is_held_up(self):
        """Guards against a sound version that is rolled back because an instance was short of
        processor time: all answers in flight were late at once."""
        lag = LoopLag()
        task = asyncio.create_task(lag.sleep(10.0))
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        before = loop.time()
        self.assertFalse(lag.was_late(before))
        time.sleep(0.2)  # noqa: ASYNC251, the stall blocks the event loop on purpose
        self.assertTrue(lag.was_late(before))
        await asyncio.sleep(0.1)
        self.assertTrue(lag.was_late(before))
        self.assertFalse(lag.was_late(loop.time()))
        task.cancel()


class DecodeVersionTest(unittest.TestCase):
    def test_entry_without_a_usable_version_still_names_a_server(self):
        """Guards against servers that are lost because of a field that they need not have."""
        entry = {"service": "s", "address": "1.2.3.4:5", "zone": "z", "slots": 1, "state": "ready"}
        for version, expected in (("v2", "v2"), (2, "2"), (None, ""), ([], ""), (True, "")):
            server = decode_server("i", {**entry, "version": version, "cold_left_ms": "odd"})
            self.assertEqual((server.version, server.is_warming), (expected, False))
        self.assertEqual(decode_server("i", entry).version, "")
        self.assertTrue(decode_server("i", {**entry, "cold_left_ms": 5}).is_warming)


class RecordTest(unittest.TestCase):
    def test_records_reach_followers_and_cost_other_kinds_nothing(self):
        entry = FeedEntry("a", {"x": 1}, False)
        plain = KindReply(5, 0.1, True, [entry])
        self.assertNotIn(b"records", msgspec.msgpack.encode(plain))
        record = ObjectRecord({"state": "running"}, 5, 2)
        reply = KindReply(5, 0.1, True, [entry, entry], [record, None])
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=KindReply)
        self.assertEqual(decoded, reply)

    def test_changed_status_is_a_change(self):
        """Guards against a follower that is not told of a status, as the content is the same."""
        feed = KindFeed("k", Recorder())
        feed.apply_listing(StorePage((entry(1, None),), 1), 0.0)
        feed.apply_listing(StorePage((entry(2, "done"),), 2), 0.0)
        self.assertEqual(list_changes(feed, 1), (False, [entry(2, "done")]))


class QuietWatchTest(unittest.IsolatedAsyncioTestCase):
    async def run_watcher(self, quiet_wait: float, during) -> list[float]:
        """Runs a watcher while no changes are expected; returns the waits of its watches."""
        source = Source()
        activity = KindActivity()
        settings = KindSettings("k", 0.1, 0.0, quiet_wait=quiet_wait)
        feed = KindFeed("k", Recorder())
        watcher = KindWatcher(source, feed, settings, CFG, activity=activity)
        with mock.patch("sapphireledge.feed.kind_watcher.QUIET_START_DELAY", 0.02):
            task = asyncio.create_task(watcher.run())
            await asyncio.sleep(0.05)
            await during(source, activity, feed)
        task.cancel()
        return source.waits

    async def test_long_watch_ends_when_changes_are_expected(self):
        """Guards against an order of which an instance learns half a minute late."""

        async def during(source, activity, feed):
            await asyncio.sleep(0.2)
            self.assertEqual(source.waits, [25.0])
            activity.update(active=True)
            await asyncio.sleep(0.25)
            activity.update(active=False)
            await asyncio.sleep(0.3)

        waits = await self.run_watcher(25.0, during)
        self.assertEqual(waits[:2], [25.0, 0.1])
        self.assertEqual(waits[-1], 25.0)
        self.assertLess(len(waits), 8)

    async def test_no_call_until_changes_are_expected(self):
        """Guards against calls for reports that nobody writes."""

        async def during(source, activity, feed):
            await asyncio.sleep(0.2)
            self.assertEqual((source.waits, source.listings), ([], 0))
            activity.update(active=True)
            await asyncio.sleep(0.15)

        self.assertEqual((await self.run_watcher(0.0, during))[:1], [0.1])


class Source:
    """Source without objects that holds watches open for their full time."""

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.listings = 0

    async def list(self, kind):
        self.listings += 1
        return StorePage((), 1)

    async def watch(self, kind, revision, wait):
        self.waits.append(wait)
        await asyncio.sleep(wait)
        return StorePage((), 1)


class Recorder:
    """Listener that ignores everything."""

    def __getattr__(self, name):
        return lambda *args: None


def entry(revision: int, status: object) -> StoredEntry:
    return StoredEntry("a", {"x": 1}, False, ObjectRecord(status, revision, 1))


if __name__ == "__main__":
    unittest.main()
