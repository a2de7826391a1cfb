"""Tests of the gateway with backend servers that send wrong, late or endless bytes."""

from __future__ import annotations

import asyncio
import unittest

from gateway_case import (
    REQUEST_ID,
    SEAL,
    GatewayCase,
    chunk,
    event,
    full_response,
    signed_response,
    stream_head,
)

from sapphireledge.platform.decode_report import decode_report

FLOOD_CHUNK = b"x" * 65_536


async def succeed(request, writer):
    writer.write(signed_response(request, b"own answer"))


async def send_endlessly(writer, data):
    """Sends bytes until the other side closes the connection."""
    while not writer.is_closing():
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0)


class LateCopyTest(GatewayCase):
    """Guards against bytes of an earlier response on a connection that is used again."""

    async def test_late_copies_do_not_disturb_the_next_request(self):
        """Replays copies that arrive while the connection is idle, whole, split or spoilt."""

        def copy(request):
            return signed_response(request, b"first answer")

        for name, late_bytes in {
            "whole": copy,
            "half": lambda request: copy(request)[:40],
            "without id": lambda request: full_response(200, {SEAL: "s"}, b"first answer"),
            "informational": lambda request: b"HTTP/1.1 100 Continue\r\n\r\n",
            "garbage": lambda request: b"\x00\xff\r\n\r\n",
        }.items():
            with self.subTest(name):
                runs = []

                async def handle(request, writer, late_bytes=late_bytes, runs=runs):
                    runs.append(request.headers[REQUEST_ID])
                    if len(runs) > 1:
                        writer.write(signed_response(request, b"second answer"))
                        return
                    writer.write(signed_response(request, b"first answer"))
                    await writer.drain()
                    await asyncio.sleep(0.05)
                    writer.write(late_bytes(request))
                    await writer.drain()

                server = await self.add("app", handle)
                first = await self.call("/once/")
                await asyncio.sleep(0.15)
                second = await self.call("/once/")
                self.assertEqual((first.status, first.body), (200, b"first answer"))
                self.assertEqual((second.status, second.body), (200, b"second answer"))
                self.assertEqual(len(runs), len(set(runs)))
                self.gateway.context.registry.remove(server.server_id)

    async def test_rest_of_a_copy_after_the_next_request_is_not_its_answer(self):
        """Replays a copy of which all bytes arrive just after the next request."""
        requests = []

        async def handle(request, writer):
            requests.append(request)
            if len(requests) > 1:
                writer.write(signed_response(requests[0], b"first answer"))
                await asyncio.sleep(0.05)
            writer.write(signed_response(request, b"answer %d" % len(requests)))

        await self.add("app", handle)
        await self.call("/once/")
        second = await self.call("/once/")
        self.assertEqual((second.status, second.body), (200, b"answer 2"))


class UntruePromiseTest(GatewayCase):
    """Guards against telling a caller that a request did not run when it may have run."""

    async def test_status_that_promises_not_run_is_not_passed_on_without_proof(self):
        for status in (408, 429, 503):
            with self.subTest(status):

                async def handle(request, writer, status=status):
                    writer.write(signed_response(request, b"", status))

                server = await self.add("app", handle)
                response = await self.call("/once/")
                self.assertEqual(response.status, 502)
                self.assertNotIn("retry-after", response.headers)
                self.assertNotIn(SEAL, response.headers)
                self.gateway.context.registry.remove(server.server_id)


class EndlessBytesTest(GatewayCase):
    """Guards against responses without end, in memory and in time."""

    async def assert_goes_on_elsewhere(self, path, faulty, expected):
        """Calls with a server that never ends first, and a sound one in another data centre."""
        closed = asyncio.Event()

        async def handle(request, writer):
            try:
                await faulty(request, writer)
            finally:
                closed.set()

        first = await self.add("llm" if "stream" in path else "app", handle)
        await self.add(
            "llm" if "stream" in path else "app",
            succeed if "plain" in path else self.sound_stream,
            "dc-b",
        )
        started = asyncio.get_running_loop().time()
        response = await self.call(path)
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual(response.body, expected)
        self.assertLess(asyncio.get_running_loop().time() - started, 2.0)
        async with asyncio.timeout(1.0):
            await closed.wait()
        state = self.gateway.context.registry.state(first.server_id)
        self.assertGreater(state.failure_rate, 0.0)

    @staticmethod
    async def sound_stream(request, writer):
        writer.write(stream_head(request) + chunk(event(0)) + chunk(event(1)) + b"0\r\n\r\n")

    def endless_after(self, start, data):
        """Builds a handler that sends a start and then bytes without end."""

        async def handle(request, writer):
            writer.write(start(request))
            await send_endlessly(writer, data)

        return handle

    def forget_servers(self):
        """Removes all servers, and the losses that would make their data centre suspect."""
        registry = self.gateway.context.registry
        for server in self.servers:
            registry.remove(server.server_id)
        registry._recent_losses.clear()
        registry._suspect_until.clear()

    async def test_plain_responses(self):
        seal = f"{SEAL}: s\r\n".encode()
        for name, start, data in (
            ("head", lambda r: b"HTTP/1.1 200 OK\r\nx: ", FLOOD_CHUNK),
            ("headers", lambda r: b"HTTP/1.1 200 OK\r\n", b"x-h: 1\r\n" * 999),
            ("informational", lambda r: b"", b"HTTP/1.1 103 Early\r\n\r\n" * 99),
            ("chunk size", lambda r: stream_head(r), b"0" * 9999),
            ("chunk extension", lambda r: stream_head(r) + b"5;", FLOOD_CHUNK),
            ("chunks", lambda r: stream_head(r), chunk(FLOOD_CHUNK)),
            ("unframed", lambda r: b"HTTP/1.1 200 OK\r\n" + seal + b"\r\n", FLOOD_CHUNK),
            ("trailer", lambda r: stream_head(r) + b"0\r\nx: ", FLOOD_CHUNK),
            ("other responses", lambda r: b"", full_response(200, {REQUEST_ID: "o"}, b"x") * 99),
        ):
            with self.subTest(name):
                expected = b"own answer"
                await self.assert_goes_on_elsewhere(
                    "/plain/", self.endless_after(start, data), expected
                )
                self.forget_servers()

    async def test_streams(self):
        expected = event(0) + event(1)
        for name, start, data in (
            ("event", lambda r: stream_head(r) + chunk(b"id: 0\ndata: "), chunk(FLOOD_CHUNK)),
            ("chunk size", lambda r: stream_head(r), b"0" * 9999),
            ("error body", lambda r: b"HTTP/1.1 500 E\r\n\r\n", FLOOD_CHUNK),
        ):
            with self.subTest(name):
                await self.assert_goes_on_elsewhere(
                    "/stream/", self.endless_after(start, data), expected
                )
                self.forget_servers()

    async def test_report(self):
        """Guards against an engine whose report takes all memory or all time of a selection."""
        engine = await self.add("llm", self.sound_stream)
        await self.add("llm", self.sound_stream)

        async def send_endless_report(request, writer):
            if request.target == b"/report":
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
                await send_endlessly(writer, FLOOD_CHUNK)
            return False

        engine._serve_engine_query = send_endless_report
        started = asyncio.get_running_loop().time()
        response = await self.call("/stream/")
        self.assertTrue(response.complete)
        self.assertLess(asyncio.get_running_loop().time() - started, 1.0)


class MalformedValueTest(GatewayCase):
    """Guards against a malformed value that ends more than the exchange that carried it."""

    def test_report_with_values_of_other_types(self):
        for runs in ('[["a",1,null,5]]', '[["a",1,"x"]]', "[[[],1,{}]]", '[["a"]]', "[[]]"):
            report = decode_report(b'{"waiting":1,"runs":%s}' % runs.encode())
            self.assertEqual((report.waiting, dict(report.events)), (1, {}))

    def test_deeply_nested_report(self):
        self.assertIsNone(decode_report(b'{"runs":' + b"[" * 100_000))

    async def test_event_number_of_many_digits_does_not_end_the_stream(self):
        async def handle(request, writer):
            writer.write(stream_head(request) + chunk(event(0)))
            writer.write(chunk(b"id: " + b"9" * 9000 + b"\ndata: x\n\n"))

        async def standby(request, writer):
            writer.write(stream_head(request) + chunk(event(1)) + b"0\r\n\r\n")

        await self.add("llm", handle)
        await self.add("llm", standby, "dc-b")
        response = await self.call("/stream/")
        self.assertEqual((response.body, response.complete), (event(0) + event(1), True))

    async def test_deadline_of_many_digits_is_answered(self):
        await self.add("app", succeed)
        response = await self.call("/plain/", x_sapphireledge_deadline_ms="9" * 9000)
        self.assertEqual(response.status, 200)


if __name__ == "__main__":
    unittest.main()
