"""Tests with servers that close a connection in the head of a response, or frame no body."""

from __future__ import annotations

import asyncio
import unittest

from gateway_case import (
    REQUEST_ID,
    SEAL,
    GatewayCase,
    event,
    full_response,
    signed_response,
    stream_head,
)

from sapphireledge.backends import CallFailure, ConnectionPools, EngineClient, ServiceClient
from sapphireledge.errors import Ran


class HeadStopTest(GatewayCase):
    """Guards against a short answer framed as a whole one after a server that stops in a head."""

    async def test_stop_at_each_byte_of_a_head(self):
        sent = []

        async def handle(request, writer):
            data = signed_response(request, b"whole")
            writer.write(data[: sent[-1]])
            await writer.drain()
            writer.close()

        await self.add("app", handle)
        length = len(full_response(200, {REQUEST_ID: "id1", SEAL: "s"}, b""))
        for stop in range(0, length, 3):
            with self.subTest(stop):
                sent.append(stop)
                response = await self.call("/once/")
                self.assertEqual((response.status, response.complete), (502, True))
                self.assertNotIn(SEAL, response.headers)

    async def test_stop_in_the_head_of_a_stream(self):
        async def handle(request, writer):
            writer.write(stream_head(request)[:-2])
            await writer.drain()
            writer.close()

        await self.add("llm", handle)
        response = await self.call("/non-resumable/")
        self.assertEqual(response.status, 502)

    async def test_stream_without_length_or_chunks(self):
        """A stream that ends with its connection is whole at the end of an event, else broken."""
        for tail, whole in ((b"", True), (b"id: 4\nda", False)):
            with self.subTest(tail):

                async def handle(request, writer, tail=tail):
                    head = stream_head(request).replace(b"transfer-encoding: chunked\r\n", b"")
                    writer.write(head + b"".join(event(number) for number in range(4)) + tail)
                    await writer.drain()
                    writer.close()

                server = await self.add("llm", handle)
                response = await self.call("/non-resumable/")
                self.assertEqual(response.complete, whole)
                self.assertEqual(response.body, b"".join(event(number) for number in range(4)))
                self.gateway.context.registry.remove(server.server_id)


class OwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    """The same faults at the clients of the own interface."""

    async def serve(self, answer):
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def test_service_that_stops_at_each_byte_of_a_head(self):
        data = full_response(200, {"content-type": "application/json"}, b"{}")
        pools = ConnectionPools()
        for stop in range(0, len(data) - 2, 3):
            with self.subTest(stop):
                client = ServiceClient(await self.serve(data[:stop]), pools)
                reply = await client.call("POST", "/", {}, b"", 1.0)
                self.assertIsInstance(reply, CallFailure)
                self.assertIs(reply.ran, Ran.UNKNOWN)

    async def test_engine_report_that_stops_in_its_head(self):
        data = full_response(200, {"content-type": "application/json"}, b"{}")
        for stop in range(0, len(data) - 2, 5):
            with self.subTest(stop):
                client = EngineClient(await self.serve(data[:stop]), ConnectionPools())
                self.assertIsInstance(await client.load(), CallFailure)


if __name__ == "__main__":
    unittest.main()
