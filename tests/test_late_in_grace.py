"""Tests of requests that arrive late in a planned stop, or are in flight at its end."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import replace

from gateway_case import (
    HOST,
    KEY,
    ONCE_ROUTE,
    REQUEST_ID,
    SEAL,
    GatewayCase,
    chunk,
    event,
    full_response,
    read_response,
    stream_head,
    table,
)

from sapphireledge.gateway import GatewayMetrics, GatewayServer

STOP_LIMIT = 5.8
"""Seconds between the stop signal and the kill."""

EVENTS = 55
"""Events of a stream that ends between the last answers and the exit of the process."""


class LateInGraceTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gateway.reconfigure(replace(self.cfg, drain_time=3.0, stop_limit=STOP_LIMIT))
        routes = table(2)
        once = replace(ONCE_ROUTE, time_limit=3.0)
        self.gateway.config.accept(replace(routes, routes={"svc.example": (once,)}))
        self.assertIn(KEY, routes.keys)

    async def answer_late(self, request, writer):
        await asyncio.sleep(2.9)
        headers = {REQUEST_ID: request.headers[REQUEST_ID], SEAL: "s"}
        writer.write(full_response(200, headers, b"ok"))

    async def stream_late(self, request, writer):
        """Streams events and ends 5.42 s after the stop, which begins 0.15 s after the request."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        writer.write(stream_head(request))
        for number in range(EVENTS):
            await asyncio.sleep(started + 0.1 * number - loop.time())
            writer.write(chunk(event(number)))
        await asyncio.sleep(started + 0.15 + 5.42 - loop.time())
        writer.write(b"0\r\n\r\n")

    async def run_stop(self):
        """Starts a server and begins its stop.

        Returns:
            The task that ends with the process; its result is the number of requests that the
            process leaves without a complete response.
        """
        server = GatewayServer(self.gateway, GatewayMetrics())

        async def run():
            await server.run()
            return self.gateway.in_flight

        task = asyncio.create_task(run())
        await asyncio.sleep(0.05)
        server.request_stop()
        return task

    async def test_request_that_may_outlast_the_grace_is_refused_as_not_run(self):
        """Guards against a request that is passed on late in the grace and then cut off."""
        server = await self.add("app", self.answer_late)
        stopping = await self.run_stop()
        await asyncio.sleep(3.1)
        response = await self.call("/once/", x_sapphireledge_deadline_ms="")
        self.assertEqual((response.status, response.complete), (503, True))
        self.assertEqual(server.received, [])
        async with asyncio.timeout(STOP_LIMIT):
            await stopping

    async def test_stream_that_has_begun_goes_on_until_the_process_exits(self):
        """Guards against cutting streams to make room for answers that they no longer need."""
        self.gateway.config.accept(table(3))
        await self.add("llm", self.stream_late)
        begun = asyncio.create_task(self.call("/stream/", x_sapphireledge_deadline_ms=""))
        await asyncio.sleep(0.1)
        stopping = await self.run_stop()
        response = await begun
        self.assertEqual(response.body, b"".join(event(number) for number in range(EVENTS)))
        self.assertTrue(response.complete)
        async with asyncio.timeout(1.0):
            await stopping

    async def test_request_in_flight_at_the_end_of_the_grace_is_answered(self):
        """Guards against a connection that ends without an answer when the process stops."""
        await self.check_answer_at_the_end_of_the_grace()

    async def test_request_is_answered_by_a_process_that_stalls_until_the_end_of_the_grace(self):
        """Guards against an exit in the same pass of the loop that ends the last requests."""
        loop = asyncio.get_running_loop()
        loop.call_later(STOP_LIMIT - 0.5, time.sleep, 0.35)
        await self.check_answer_at_the_end_of_the_grace()

    async def test_process_does_not_exit_before_a_slow_caller_has_its_response(self):
        """Guards against losing what the process still has to send of a finished response."""

        async def answer(request, writer):
            headers = {REQUEST_ID: request.headers[REQUEST_ID], SEAL: "s"}
            writer.write(full_response(200, headers, b"x" * 60000))

        await self.add("app", answer)
        reader, writer = await self.connect_with_small_buffers()
        self.addCleanup(writer.close)
        writer.write(self.head("/once/") + b"content-length: 0\r\n\r\n")
        await asyncio.sleep(0.2)
        stopping = await self.run_stop()
        await asyncio.sleep(3.4)
        self.assertFalse(stopping.done())
        response = await read_response(reader)
        self.assertEqual((response.complete, len(response.body)), (True, 60000))
        async with asyncio.timeout(1.0):
            self.assertEqual(await stopping, 0)

    async def connect_with_small_buffers(self):
        """Connects so that a response waits in the gateway until the caller reads."""
        self._listener.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self.port))
        return await asyncio.open_connection(sock=sock, limit=1024)

    async def check_answer_at_the_end_of_the_grace(self):
        """Sends a request whose server answers too late, and checks what its caller gets."""
        server = await self.add("app", self.answer_late)
        stopping = await self.run_stop()
        await asyncio.sleep(2.8)
        response = await self.call("/once/", x_sapphireledge_deadline_ms="")
        self.assertEqual((response.status, response.complete), (502, True))
        self.assertEqual(len(server.received), 1)
        async with asyncio.timeout(1.0):
            self.assertEqual(await stopping, 0)
