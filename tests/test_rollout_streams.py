"""Tests of streams while a version is rolled out: their engines, and where they are resumed."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from gateway_case import HOST, GatewayCase, chunk, event, stream_head
from test_rollout_guard import SETTINGS, FixedRollout

from sapphireledge.core.rollout import (
    AnswerQuality,
    RolloutDecision,
    RolloutOrder,
    RolloutStage,
    RolloutState,
    VersionChoice,
    VersionRule,
)
from sapphireledge.gateway import BackendServer, RolloutGuard, StoredOrder

if TYPE_CHECKING:
    from collections.abc import Callable

EVENTS = 6


class FirstEvents(FixedRollout):
    """A roll-out with a fixed choice that also takes first events."""

    def on_first_event(self, now, route, version, seconds, *, server=""):
        pass


class Finish(FirstEvents):
    """The finish of a roll-out, in which the new version takes all first sends and retries."""

    def choose(self, now, *, may_repeat, is_stream, is_retry):
        return VersionRule("v2", self.choice)


class StreamTest(GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        context = self.gateway.context
        self.rollouts = context.rollouts = RolloutGuard(
            SETTINGS, context.registry, context.telemetry.rollouts
        )
        self.received: list[tuple[str, int]] = []
        """Version and first event of each stream that reached an engine."""

    async def add_engine(
        self,
        version: str,
        breaks_after: int = EVENTS,
        *,
        on_sent: Callable[[], object] = lambda: None,
        pauses_after: int = EVENTS,
        release: asyncio.Event | None = None,
    ) -> None:
        """Starts an engine of a version that breaks its streams after some events.

        Args:
            version: Its version.
            breaks_after: Number of events after which it breaks a stream.
            on_sent: Called when these events were sent.
            pauses_after: Number of events after which it waits.
            release: Event that it waits for.
        """

        async def stream(request, writer):
            first = int(request.headers.get("last-event-id", -1)) + 1
            self.received.append((version, first))
            writer.write(stream_head(request))
            for number in range(first, min(EVENTS, first + breaks_after)):
                if release is not None and number == first + pauses_after:
                    await writer.drain()
                    await release.wait()
                writer.write(chunk(event(number)))
                await writer.drain()
            await asyncio.sleep(0.02)
            on_sent()
            if first + breaks_after >= EVENTS:
                writer.write(b"0\r\n\r\n")
            else:
                writer.close()

        server = await self.add("llm", stream)
        self.gateway.context.registry.put(
            BackendServer(server.server_id, "llm", HOST, server.port, "dc-a", version=version)
        )
        self.rollouts.on_servers_changed()

    def begin(
        self, choice: VersionChoice, kind: Callable[[VersionChoice], FixedRollout] = FirstEvents
    ) -> FixedRollout:
        """Puts an order with a fixed choice in force."""
        order = RolloutOrder("llm", "v2", 10.0, "1")
        self.rollouts.on_order(StoredOrder(order, RolloutState.RUNNING, 1))
        rollout = kind(choice)
        self.rollouts._versions("llm").rollout = rollout
        return rollout

    async def assert_whole(self) -> None:
        response = await self.call("/stream/x")
        self.assertTrue(response.complete)
        self.assertEqual(response.body, b"".join(event(number) for number in range(EVENTS)))

    async def test_look_at_engines_follows_the_choice(self):
        """Guards against streams placed by load only, whatever version was chosen."""
        for version in ("v1", "v2", "v1", "v2"):
            await self.add_engine(version)
        for choice, expected in (
            (VersionChoice.OLD_ONLY, "v1"),
            (VersionChoice.OLD_FIRST, "v1"),
            (VersionChoice.NEW_FIRST, "v2"),
            (VersionChoice.NEW_ONLY, "v2"),
        ):
            self.begin(choice)
            self.received.clear()
            for _ in range(3):
                await self.assert_whole()
            self.assertEqual(self.received, [(expected, 0)] * 3, choice)

    async def test_stream_that_broke_before_its_first_event_begins_at_the_old_version(self):
        """Guards against retried streams that raise the exposure."""
        await self.add_engine("v1")
        await self.add_engine("v2", breaks_after=0)
        await self.add_engine("v2", breaks_after=0)
        rollout = self.begin(VersionChoice.NEW_FIRST)
        await self.assert_whole()
        self.assertEqual(self.received, [("v2", 0), ("v1", 0)])
        self.assertEqual(rollout.sent, [("v2", False), ("v1", True)])
        self.assertEqual(rollout.results[0], ("v2", AnswerQuality.FAILED))

    async def test_stream_that_broke_at_the_new_version_goes_on_there(self):
        """Guards against an answer joined from two versions, and against lost events."""
        await self.add_engine("v1")
        await self.add_engine("v2", breaks_after=3)
        await self.add_engine("v2", breaks_after=3)
        rollout = self.begin(VersionChoice.NEW_FIRST)
        await self.assert_whole()
        self.assertEqual(self.received, [("v2", 0), ("v2", 3)])
        self.assertEqual(rollout.sent, [("v2", False), ("v2", True)])
        self.assertEqual(rollout.results[0], ("v2", AnswerQuality.FAILED))

    async def test_stream_at_a_version_that_was_condemned_ends_incomplete(self):
        """Guards against requests to a condemned version, and against a joined answer."""
        await self.add_engine("v1")
        for _ in range(2):
            await self.add_engine("v2", breaks_after=2, on_sent=self.condemn)
        rollout = self.begin(VersionChoice.NEW_FIRST)
        response = await self.call("/stream/x")
        self.assertFalse(response.complete)
        self.assertEqual(response.body, event(0) + event(1))
        self.assertEqual(self.received, [("v2", 0)])
        self.assertEqual(rollout.sent, [("v2", False)])

    async def test_stream_that_breaks_in_the_finish_goes_on_at_the_old_version(self):
        """Guards against an answer joined from two versions while the old servers still serve."""
        for _ in range(2):
            await self.add_engine("v1", breaks_after=3, on_sent=self.finish)
        await self.add_engine("v2")
        self.begin(VersionChoice.OLD_ONLY)
        await self.assert_whole()
        self.assertEqual(self.received, [("v1", 0), ("v1", 3)])

    async def test_stream_of_a_version_that_is_no_longer_in_use_goes_on(self):
        """Guards against streams that break off because their version takes no new ones."""
        for _ in range(2):
            await self.add_engine("v1", breaks_after=3, on_sent=self.complete)
        await self.add_engine("v2")
        await self.assert_whole()
        self.assertEqual(self.received, [("v1", 0), ("v1", 3)])

    async def test_stream_of_a_version_that_was_rolled_back_ends_incomplete(self):
        """Guards against requests to a version that was given up."""
        await self.add_engine("v1")
        for _ in range(2):
            await self.add_engine("v2", breaks_after=3, on_sent=self.roll_back)
        self.begin(VersionChoice.NEW_FIRST)
        response = await self.call("/stream/x")
        self.assertFalse(response.complete)
        self.assertEqual(self.received, [("v2", 0)])

    async def test_only_streams_without_an_event_leave_the_old_version(self):
        """Guards against a move in the middle of an answer."""
        for events, expected in ((2, [("v1", 0)]), (0, [("v1", 0), ("v2", 0)])):
            with self.subTest(events=events):
                for server in self.servers:
                    self.gateway.context.registry.remove(server.server_id)
                self.received.clear()
                release = asyncio.Event()
                await self.add_engine("v1", pauses_after=events, release=release)
                self.begin(VersionChoice.OLD_ONLY)
                call = asyncio.create_task(self.assert_whole())
                while not self.received:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.05)
                await self.add_engine("v1", pauses_after=events, release=release)
                await self.add_engine("v2")
                self.finish().decide = lambda now, *, has_choice: RolloutDecision(
                    RolloutStage.FINISH, 1.0, None, "", {}, True
                )
                self.rollouts.tick()
                await asyncio.sleep(0.1)
                release.set()
                await call
                self.assertEqual(self.received, expected)

    def finish(self) -> FixedRollout:
        return self.begin(VersionChoice.NEW_ONLY, Finish)

    def condemn(self) -> None:
        self.rollouts._versions("llm").rollout.choice = VersionChoice.OLD_ONLY

    def complete(self) -> None:
        order = RolloutOrder("llm", "v2", 10.0, "1")
        self.rollouts.on_order(StoredOrder(order, RolloutState.COMPLETED, 2))

    def roll_back(self) -> None:
        order = RolloutOrder("llm", "v2", 10.0, "1")
        self.rollouts.on_order(StoredOrder(order, RolloutState.ROLLED_BACK, 2))

    async def test_stream_whose_version_is_condemned_while_it_connects(self):
        """Guards against a stream at a condemned version, and against an engine that counts as
        failed although it was sent nothing."""
        await self.add_engine("v1")
        await self.add_engine("v2")
        rollout = self.begin(VersionChoice.NEW_FIRST)
        acquire = self.gateway.context.pool.acquire

        async def acquire_late(server, **kwargs):
            conn = await acquire(server, **kwargs)
            if server.version == "v2" and kwargs.get("request_id"):
                rollout.choice = VersionChoice.OLD_ONLY
            return conn

        with mock.patch.object(self.gateway.context.pool, "acquire", acquire_late):
            await self.assert_whole()
        self.assertEqual(self.received, [("v1", 0)])
        self.assertNotIn(("v2", False), rollout.sent)
        states = [self.gateway.context.registry.state(s.server_id) for s in self.servers]
        self.assertEqual([state.failure_rate for state in states], [0.0, 0.0])


if __name__ == "__main__":
    unittest.main()
