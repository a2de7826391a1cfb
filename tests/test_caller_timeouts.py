"""Tests of the timeouts of callers' connections beside stalls and changes of the configuration."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from dataclasses import replace

from gateway_case import HOST, GatewayCase, signed_response, table

from sapphireledge.gateway import CallerLimits


async def answer(request, writer):
    writer.write(signed_response(request))


class CallerTimeoutCase(GatewayCase):
    """Sends requests from a plain socket, also while the event loop is held up."""

    LIMITS = CallerLimits(head_timeout=0.4, idle_timeout=0.6)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.add("app", answer)
        self.loop = asyncio.get_running_loop()
        self.version = 1
        self.change(self.LIMITS)

    def change(self, limits):
        """Puts a configuration with other limits in force."""
        self.version += 1
        self.gateway.config.accept(replace(table(self.version), limits=limits))

    def request(self, body=b""):
        return self.head("/once/") + f"content-length: {len(body)}\r\n\r\n".encode() + body

    async def connect(self):
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setblocking(False)
        await self.loop.sock_connect(sock, (HOST, self.port))
        return sock

    async def receive(self, sock):
        """Receives the status line of a response, empty if the connection ends without one."""
        try:
            data = await asyncio.wait_for(self.loop.sock_recv(sock, 65_536), 5.0)
        except ConnectionResetError:
            return b""
        return data.partition(b"\r\n")[0]

    async def connect_and_use(self):
        """Opens a connection and has one request answered, so that it is idle then."""
        sock = await self.connect()
        await self.loop.sock_sendall(sock, self.request())
        self.assertIn(b"200", await self.receive(sock))
        return sock

    def stall(self, sock, data, seconds):
        """Sends bytes, and holds up the event loop until a timeout is over."""
        sock.send(data)
        time.sleep(seconds)


class StalledLoopTest(CallerTimeoutCase):
    """Guards against a timeout that overtakes bytes which arrived in time."""

    async def test_request_arrives_before_the_idle_timeout(self):
        sock = await self.connect_and_use()
        await asyncio.sleep(0.3)
        self.stall(sock, self.request(), 0.5)
        self.assertIn(b"200", await self.receive(sock))

    async def test_request_arrives_in_the_pass_of_the_idle_timeout(self):
        sock = await self.connect_and_use()
        now = self.loop.time()
        self.loop.call_at(now + 0.5, time.sleep, 0.2)
        self.loop.call_at(now + 0.55, sock.send, self.request())
        await asyncio.sleep(0.8)
        self.assertIn(b"200", await self.receive(sock))

    async def test_rest_of_a_head_arrives_before_its_timeout(self):
        sock = await self.connect()
        data = self.request()
        sock.send(data[:60])
        await asyncio.sleep(0.2)
        self.stall(sock, data[60:], 0.4)
        self.assertIn(b"200", await self.receive(sock))

    async def test_rest_of_a_body_arrives_before_its_timeout(self):
        sock = await self.connect()
        data = self.request(b"0123456789")
        sock.send(data[:-5])
        await asyncio.sleep(0.3)
        self.stall(sock, data[-5:], 0.5)
        self.assertIn(b"200", await self.receive(sock))

    async def test_incomplete_head_is_refused_in_time(self):
        """Guards against a head that may take for ever because its bytes keep coming."""
        sock = await self.connect()
        data = iter(self.request()[:-2])
        received = asyncio.create_task(self.receive(sock))
        started = self.loop.time()
        while not received.done():
            sock.send(bytes([next(data)]))
            await asyncio.sleep(0.02)
        self.assertIn(b"408", await received)
        self.assertAlmostEqual(self.loop.time() - started, 0.4, delta=0.2)


class ChangedLimitsTest(CallerTimeoutCase):
    """Guards against limits of an earlier configuration on a connection that was idle meanwhile."""

    async def test_longer_idle_timeout_holds_for_idle_connections(self):
        sock = await self.connect_and_use()
        self.change(replace(self.LIMITS, idle_timeout=2.0))
        await asyncio.sleep(1.0)
        await self.loop.sock_sendall(sock, self.request())
        self.assertIn(b"200", await self.receive(sock))

    async def test_shorter_idle_timeout_holds_for_later_waits_only(self):
        sock = await self.connect_and_use()
        self.change(replace(self.LIMITS, idle_timeout=0.1))
        await asyncio.sleep(0.4)
        await self.loop.sock_sendall(sock, self.request())
        self.assertIn(b"200", await self.receive(sock))
        await asyncio.sleep(0.4)
        self.assertEqual(await self.receive(sock), b"")

    async def test_idle_connection_is_closed_after_the_longer_timeout(self):
        sock = await self.connect_and_use()
        self.change(replace(self.LIMITS, idle_timeout=1.0))
        started = self.loop.time()
        self.assertEqual(await self.receive(sock), b"")
        self.assertAlmostEqual(self.loop.time() - started, 1.0, delta=0.3)

    async def test_larger_body_is_accepted_on_an_idle_connection(self):
        self.change(replace(self.LIMITS, max_body_bytes=10))
        sock = await self.connect_and_use()
        self.change(self.LIMITS)
        await self.loop.sock_sendall(sock, self.request(bytes(100)))
        self.assertIn(b"200", await self.receive(sock))


if __name__ == "__main__":
    unittest.main()
