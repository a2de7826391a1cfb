"""Tests of connections of callers that send ahead, stop short or do not read."""

from __future__ import annotations

import asyncio
import errno
import json
import socket
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from gateway_case import HOST, GatewayCase, chunk, read_response, signed_response, table

from sapphireledge.gateway import CallerLimits, GatewayMetrics, GatewayServer
from sapphireledge.limits import CallerBudgets
from sapphireledge.platform.node_settings import load_node_settings

BODY = 2_500_000


async def answer(request, writer):
    writer.write(signed_response(request, request.body[:10]))


class CallerConnectionTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Memory for one large body, and little patience.
        budgets = CallerBudgets(memory_bytes=32_000_000, stall_time=0.2)
        self.gateway.reconfigure(replace(self.cfg, callers=budgets))
        await self.add("app", answer)

    async def connect(self):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def test_requests_sent_ahead_with_chunked_bodies(self):
        """Guards against bytes of the next request that are lost or read as a body."""
        reader, writer = await self.connect()
        parts = []
        for number in range(40):
            body = b"%02d" % number
            head = self.head("/plain/", transfer_encoding="chunked")
            parts.append(head + b"\r\n" + chunk(body) + b"0\r\n\r\n")
            head = self.head("/plain/")
            parts.append(head + b"content-length: 3\r\n\r\n" + body + b"x")
        writer.write(b"".join(parts))
        bodies = []
        for _ in parts:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10.0)
            length = int(head.lower().split(b"content-length:")[1].split()[0])
            bodies.append(await reader.readexactly(length))
        expected = [body for n in range(40) for body in (b"%02d" % n, b"%02dx" % n)]
        self.assertEqual(bodies, expected)

    async def test_head_over_the_limit_in_one_piece(self):
        """Guards against heads that escape the limit because they arrive whole."""
        reader, writer = await self.connect()
        writer.write(self.head("/plain/") + b"x: " + b"y" * 20_000 + b"\r\n\r\n")
        self.assertEqual((await read_response(reader)).status, 431)

    async def test_large_head_within_a_large_limit(self):
        """Guards against heads of which no more is received than usual limits need."""
        limits = replace(CallerLimits(), max_head_bytes=131_072)
        self.gateway.config.accept(replace(table(2), limits=limits))
        reader, writer = await self.connect()
        writer.write(self.head("/none/") + b"x: " + b"y" * 100_000 + b"\r\n\r\n")
        self.assertEqual((await read_response(reader)).status, 404)

    async def test_declared_body_over_the_limit(self):
        """Guards against reading a body that is refused in any case."""
        reader, writer = await self.connect()
        writer.write(self.head("/plain/") + b"content-length: 400000000\r\n\r\n")
        self.assertEqual((await read_response(reader)).status, 413)

    async def test_stalled_body_gives_way(self):
        """Guards against a body that stops short and keeps out all later ones."""
        # Longer than the others, as the second request must arrive before the first one stalls.
        budgets = replace(self.gateway.cfg.callers, stall_time=2.0)
        self.gateway.reconfigure(replace(self.gateway.cfg, callers=budgets))
        stalled_reader, writer = await self.connect()
        head = self.head("/plain/") + f"content-length: {BODY}\r\n\r\n".encode()
        writer.write(head + bytes(BODY - 5))
        await asyncio.sleep(0.1)
        refused = await self.call("/plain/", bytes(BODY))
        self.assertEqual((refused.status, refused.headers["retry-after"]), (503, "1.0"))
        await asyncio.sleep(2.1)
        self.assertEqual((await self.call("/plain/", bytes(BODY))).status, 200)
        stalled = await read_response(stalled_reader)
        self.assertEqual((stalled.status, stalled.headers["connection"]), (503, "close"))
        self.assertNotIn(BODY - 5, [len(each.body) for each in self.servers[0].received])

    async def test_unread_answers_give_way(self):
        """Guards against answers that nobody reads and that keep out all later ones."""

        async def answer_large(request, writer):
            writer.write(signed_response(request, bytes(3_900_000)))
            await writer.drain()

        self.servers[0].handle = answer_large
        for _ in range(3):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect((HOST, self.port))
            _, writer = await asyncio.open_connection(sock=sock, limit=1)
            self.addCleanup(writer.close)
            writer.write(self.head("/plain/") + b"content-length: 0\r\n\r\n")
            await asyncio.sleep(0.4)
        response = await self.call("/plain/")
        self.assertEqual((response.status, len(response.body)), (200, 3_900_000))

    async def test_idle_connection_gives_way_to_a_new_one(self):
        limits = replace(self.gateway._ledger.limits, connections=2)
        self.gateway._ledger.limits = limits
        first, _ = await self.connect()
        second, _ = await self.connect()
        self.assertEqual((await self.call("/plain/")).status, 200)
        self.assertEqual(await asyncio.wait_for(first.read(), 5.0), b"")
        self.assertFalse(second.at_eof())

    async def test_pause_of_accepting_is_counted(self):
        metrics = GatewayMetrics()
        self.gateway.telemetry._metrics = metrics
        server = GatewayServer(self.gateway, metrics)
        exc = OSError(errno.EMFILE, "too many open files")
        server._on_loop_error(asyncio.get_running_loop(), {"message": "", "exception": exc})
        self.assertIn(b'limits_total{reason="no_descriptors"} 1.0', metrics.render())


class SettingsTest(unittest.TestCase):
    """Guards against limits of the machine that are not decoded."""

    def load(self, **limits):
        file = {
            "node_name": "n1",
            "zone": "dc-a",
            "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
            "port_range": [3, 4],
            "platform": {"address": "127.0.0.1:5"},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_text(json.dumps({**file, "limits": limits}))
            return load_node_settings(path).gateway.callers

    def test_limits_of_the_machine(self):
        self.assertEqual(
            self.load(memory_mb=150, max_fds=4100), CallerBudgets(150 * 1_048_576, 3_900)
        )
        self.assertEqual(self.load(), CallerBudgets())


if __name__ == "__main__":
    unittest.main()
