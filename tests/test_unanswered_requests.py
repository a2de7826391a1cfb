"""Tests of complete requests whose connection ends without a complete response."""

from __future__ import annotations

import asyncio
import unittest

import structlog
from gateway_case import HOST, GatewayCase, chunk, event, stream_head, table

NO_BODY = b"content-length: 0\r\n\r\n"


class TelemetryTest(GatewayCase):
    """Guards against connections of callers that end without a trace of the reason."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gateway.config.accept(table(7))

    async def end_with(self, line_event, server_action):
        """Plays a stream that is cut after its first event; returns the line about its end."""

        async def serve(request, writer):
            writer.write(stream_head(request) + chunk(event(0)))
            await writer.drain()
            await server_action(writer)

        await self.add("llm", serve)
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        with structlog.testing.capture_logs() as lines:
            writer.write(self.head("/non-resumable/") + NO_BODY)
            await reader.readuntil(b"t0\n\n")
            if line_event == "caller_left":
                writer.transport.abort()
            async with asyncio.timeout(5.0):
                while not (found := [line for line in lines if line["event"] == line_event]):
                    await asyncio.sleep(0.01)
        return found[0], [line["event"] for line in lines]

    async def test_broken_stream_names_the_configuration(self):
        async def close(writer):
            writer.transport.abort()

        line, _ = await self.end_with("request_unanswered", close)
        self.assertEqual(
            (line["request_id"], line["reason"], line["response_started"], line["config_version"]),
            ("id1", "aborted", True, 7),
        )
        self.assertLess(line["config_in_force_s"], 5.0)
        metrics = self.gateway.telemetry._metrics.render()
        self.assertIn(b'unanswered_requests_total{reason="aborted"} 1.0', metrics)

    async def test_caller_that_leaves_is_not_counted(self):
        line, events = await self.end_with("caller_left", lambda _: asyncio.sleep(1.0))
        self.assertIn(line["reason"], ("caller_closed", "connection_lost"))
        self.assertNotIn("request_unanswered", events)

    async def test_connection_that_gives_way_is_not_taken_for_a_caller_that_left(self):
        async def evict(_):
            await asyncio.sleep(0.1)
            (conn,) = self.gateway._connections
            conn._account.evict("stalled")

        line, _ = await self.end_with("cut_off", evict)
        self.assertEqual(line["reason"], "gave_way")


if __name__ == "__main__":
    unittest.main()
