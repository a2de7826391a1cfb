"""Tests of servers that reject a request and ask for a pause."""

from __future__ import annotations

import asyncio

from gateway_case import (
    REQUEST_ID,
    SEAL,
    GatewayCase,
    chunk,
    event,
    full_response,
    stream_head,
)
from virtual_clock import VirtualClock

PAUSE = 1.2
"""Seconds for which the rejecting server wants no requests."""

REJECTION = {"x-sapphireledge-not-executed": "1", "retry-after": str(PAUSE)}
"""Headers of the rejection."""


class ServerPauseTest(VirtualClock, GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.arrivals = []

    async def reject_once(self, request, writer):
        first = len(self.servers[0].received) == 1
        self.arrivals.append(asyncio.get_running_loop().time())
        if first:
            self.rejected_at = asyncio.get_running_loop().time()
            headers = {**REJECTION, REQUEST_ID: request.headers[REQUEST_ID]}
            writer.write(full_response(503, headers, b""))
        elif request.target.startswith(b"/stream/"):
            await self.stream(request, writer)
        else:
            await self.answer(request, writer)

    async def answer(self, request, writer):
        await asyncio.sleep(0.03)
        headers = {REQUEST_ID: request.headers[REQUEST_ID], SEAL: "s"}
        writer.write(full_response(200, headers, b"ok"))

    async def stream(self, request, writer):
        writer.write(stream_head(request) + chunk(event(0)) + b"0\r\n\r\n")

    async def call_together(self, path):
        """Sends several overlapping requests; returns the statuses."""
        calls = []
        for _ in range(4):
            calls.append(asyncio.create_task(self.call(path)))
            await asyncio.sleep(0.005)
        return [response.status for response in await asyncio.gather(*calls)]

    async def call_until(self, path, end):
        """Sends requests until a time; returns the statuses."""
        statuses = []
        while asyncio.get_running_loop().time() < end:
            statuses += await self.call_together(path)
            await asyncio.sleep(0.02)
        return statuses

    async def assert_pause_kept(self, service, handle, path):
        server = await self.add(service, self.reject_once)
        await self.add(service, handle)
        while not server.received:
            self.assertEqual((await self.call(path)).status, 200)
        # The rejected request is repeated at the other server.
        statuses = await self.call_until(path, self.rejected_at + PAUSE - 0.1)
        self.assertEqual(set(statuses), {200})
        await asyncio.sleep(0.2)
        for _ in range(4):
            await self.call_together(path)
        # The last requests of the pause may reach the server after its end if this process is late.
        self.assertGreater(len(self.arrivals), 1)
        self.assertGreaterEqual(min(self.arrivals[1:]), self.rejected_at + PAUSE)

    async def test_only_engine_takes_a_waiting_stream_after_its_pause(self):
        """Guards against a stream that waits for a turn although its only engine is idle."""
        self.gateway.context.count_instances = lambda: 1_000
        server = await self.add("llm", self.reject_once)
        response = await self.call("/stream/")
        self.assertEqual((response.status, len(server.received)), (200, 2))

    async def test_plain_server_gets_nothing_during_its_pause(self):
        """Guards against requests to a server that has asked for a pause."""
        await self.assert_pause_kept("app", self.answer, "/plain/")

    async def test_engine_gets_nothing_during_its_pause(self):
        """Guards against streams to an engine that has asked for a pause."""
        await self.assert_pause_kept("llm", self.stream, "/stream/")

    async def test_requests_are_refused_at_once_while_all_servers_pause(self):
        """Guards against requests that are held until a pause ends that is longer than they are."""
        server = await self.add("app", self.reject_once)
        self.assertEqual((await self.call("/once/")).status, 503)
        started = asyncio.get_running_loop().time()
        response = await self.call("/once/")
        self.assertLess(asyncio.get_running_loop().time() - started, 0.2)
        self.assertEqual(response.status, 503)
        self.assertGreaterEqual(float(response.headers["retry-after"]), 0.4)
        self.assertEqual(len(server.received), 1)
