"""Tests of servers that say in their responses that they are leaving."""

from __future__ import annotations

from dataclasses import replace

from gateway_case import (
    HOST,
    REQUEST_ID,
    SEAL,
    GatewayCase,
    chunk,
    event,
    full_response,
    stream_head,
)

from sapphireledge.gateway import BackendServer


class LeavingServerTest(GatewayCase):
    async def answer_leaving(self, request, writer):
        headers = {REQUEST_ID: request.headers[REQUEST_ID], SEAL: "s", "server-leaving": "1"}
        writer.write(full_response(200, headers, b"ok"))

    async def answer(self, request, writer):
        headers = {REQUEST_ID: request.headers[REQUEST_ID], SEAL: "s"}
        writer.write(full_response(200, headers, b"ok"))

    async def stream(self, request, writer):
        writer.write(stream_head(request) + chunk(event(0)) + b"0\r\n\r\n")

    async def stream_leaving(self, request, writer):
        head = stream_head(request)[:-2] + b"server-leaving: 1\r\n\r\n"
        writer.write(head + chunk(event(0)) + b"0\r\n\r\n")

    def describe(self, server, **changes):
        described = BackendServer(server.server_id, "app", HOST, server.port, "dc-a")
        return replace(described, **{"started_at_ms": 5, **changes})

    async def call_often(self, path):
        for _ in range(12):
            self.assertEqual((await self.call(path)).status, 200)

    async def test_server_that_says_it_leaves_gets_no_more_requests(self):
        """Guards against requests to a server that its entry in the store still calls ready."""
        for service, leaving, staying, path in (
            ("app", self.answer_leaving, self.answer, "/plain/"),
            ("llm", self.stream_leaving, self.stream, "/stream/"),
        ):
            with self.subTest(service):
                server = await self.add(service, leaving)
                await self.add(service, staying)
                await self.call_often(path)
                self.assertLessEqual(len(server.received), 1)

    async def test_leaving_is_remembered_when_the_entry_is_removed_and_comes_back(self):
        """Guards against a leaving server that is used again because its entry lapsed."""
        registry = self.gateway.context.registry
        server = await self.add("app", self.answer_leaving)
        registry.remove(server.server_id)
        registry.put(self.describe(server))
        self.assertEqual((await self.call("/plain/")).status, 200)
        registry.remove(server.server_id)
        registry.put(self.describe(server))
        await self.add("app", self.answer)
        await self.call_often("/plain/")
        self.assertEqual(len(server.received), 1)
        registry.put(self.describe(server, started_at_ms=6))
        self.assertTrue(registry.is_available(server.server_id))
