"""Tests of complete requests whose connection ends without a complete response."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

import structlog
from gateway_case import (
    HOST,
    ONCE_ROUTE,
    GatewayCase,
    chunk,
    event,
    signed_response,
    stream_head,
    table,
)

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


class UnexpectedErrorTest(GatewayCase):
    """Guards against a complete request that ends in a closed connection after an exception."""

    async def answer(self, request, writer):
        writer.write(signed_response(request))

    async def call_and_log(self, path="/once/"):
        """Calls once; returns the status and whether the exception was logged."""
        with structlog.testing.capture_logs() as lines:
            response = await self.call(path)
        return response.status, "internal_error" in [line["event"] for line in lines]

    async def test_error_before_the_request_is_forwarded(self):
        """A configuration whose shares are all zero, as an example."""
        server = await self.add("app", self.answer)
        route = replace(ONCE_ROUTE, services=(("app", 0.0), ("llm", 0.0)))
        self.gateway.config.accept(replace(table(2), routes={"svc.example": (route,)}))
        self.assertEqual(await self.call_and_log(), (503, True))
        self.assertEqual(server.received, [])

    async def test_error_while_the_request_is_forwarded(self):
        await self.add("app", self.answer)

        def fail(outcome):
            raise KeyError("service")

        self.gateway.context.record_outcome = fail
        self.assertEqual(await self.call_and_log(), (502, True))

    async def test_error_while_a_stream_is_forwarded(self):
        await self.add("llm", self.answer)
        self.gateway.selector._looks = None
        self.assertEqual(await self.call_and_log("/stream/"), (502, True))

    async def test_cancellation_that_nobody_asked_for(self):
        await self.add("app", self.answer)

        async def cancelled(server, **_):
            raise asyncio.CancelledError

        self.gateway.context.pool.acquire = cancelled
        self.assertEqual(await self.call_and_log(), (502, True))

    async def test_error_while_a_request_is_decoded(self):
        await self.add("app", self.answer)

        def fail(*_):
            raise ValueError("header")

        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        writer.write(self.head("/once/") + NO_BODY)
        self.assertIn(b" 200 ", await reader.readuntil(b"ok"))
        self.gateway._dialect.decode_request = fail
        with structlog.testing.capture_logs() as lines:
            writer.write(self.head("/once/") + NO_BODY)
            response = await asyncio.wait_for(reader.read(), 5.0)
        self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
        self.assertIn("internal_error", [line["event"] for line in lines])

    async def test_error_after_the_response(self):
        """Guards against a complete response that is lost because of what follows it."""
        await self.add("app", self.answer)

        def fail(*_, **__):
            raise KeyError("metric")

        self.gateway.telemetry.record_response = fail
        self.assertEqual(await self.call_and_log(), (200, True))

    async def test_error_while_a_response_is_encoded(self):
        await self.add("app", self.answer)
        decode = self.gateway._dialect.decode_response

        def decode_badly(status, headers):
            return replace(decode(status, headers), headers=((b"bad name", b"x"),), signed=True)

        self.gateway._dialect.decode_response = decode_badly
        self.assertEqual(await self.call_and_log(), (502, True))

    async def test_error_after_the_response_began(self):
        """Guards against a partial response that looks complete."""

        async def serve(request, writer):
            writer.write(stream_head(request) + chunk(event(0)))
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.write(chunk(event(1)) + b"0\r\n\r\n")

        await self.add("llm", serve)
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        writer.write(self.head("/non-resumable/") + NO_BODY)
        await reader.readuntil(b"t0\n\n")
        (conn,) = self.gateway._connections

        async def fail(data):
            raise ValueError("event")

        conn.send_chunk = fail
        rest = await asyncio.wait_for(reader.read(), 5.0)
        self.assertFalse(rest.endswith(b"0\r\n\r\n"))


if __name__ == "__main__":
    unittest.main()
