"""Tests of streams while a version is rolled out: their engines, and where they are resumed."""

from __future__ import annotations

import unittest
from unittest import mock

from gateway_case import HOST, GatewayCase, chunk, event, stream_head
from test_rollout_guard import SETTINGS, FixedRollout

from sapphireledge.core.rollout import (
    AnswerQuality,
    RolloutOrder,
    RolloutState,
    VersionChoice,
)
from sapphireledge.gateway import BackendServer, RolloutGuard, StoredOrder

EVENTS = 6


class FirstEvents(FixedRollout):
    """A roll-out with a fixed choice that also takes first events."""

    def on_first_event(self, now, route, version, seconds, *, server=""):
        pass


class StreamTest(GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        context = self.gateway.context
        self.rollouts = context.rollouts = RolloutGuard(
            SETTINGS, context.registry, context.telemetry.rollouts
        )
        self.received: list[tuple[str, int]] = []
        """Version and first event of each stream that reached an engine."""

    async def add_engine(self, version: str, breaks_after: int = EVENTS) -> None:
        """Starts an engine of a version that breaks its streams after some events."""

        async def stream(request, writer):
            first = int(request.headers.get("last-event-id", -1)) + 1
            self.received.append((version, first))
            writer.write(stream_head(request))
            for number in range(first, min(EVENTS, first + breaks_after)):
                writer.write(chunk(event(number)))
                await writer.drain()
            if first + breaks_after >= EVENTS:
                writer.write(b"0\r\n\r\n")
            else:
                writer.close()

        server = await self.add("llm", stream)
        self.gateway.context.registry.put(
            BackendServer(server.server_id, "llm", HOST, server.port, "dc-a", version=version)
        )
        self.rollouts.on_servers_changed()

    def begin(self, choice: VersionChoice) -> FixedRollout:
        """Puts an order with a fixed choice in force."""
        order = RolloutOrder("llm", "v2", 10.0, "1")
        self.rollouts.on_order(StoredOrder(order, RolloutState.RUNNING, 1))
        rollout = FirstEvents(choice)
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

    async def test_stream_that_broke_at_the_new_version_is_resumed_at_the_old_one(self):
        """Guards against resumed streams that raise the exposure, and against lost events."""
        await self.add_engine("v1")
        await self.add_engine("v2", breaks_after=2)
        await self.add_engine("v2", breaks_after=2)
        rollout = self.begin(VersionChoice.NEW_FIRST)
        await self.assert_whole()
        self.assertEqual(self.received, [("v2", 0), ("v1", 2)])
        self.assertEqual(rollout.sent, [("v2", False), ("v1", True)])
        self.assertEqual(rollout.results[0], ("v2", AnswerQuality.FAILED))

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
