"""Tests of the HTTP protocol of the daemon's caller interface."""

from __future__ import annotations

import asyncio
import socket
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

import msgspec

from sapphireledge.entry import caller_protocol
from sapphireledge.entry.caller_server import CallerServer
from sapphireledge.entry.entry_limits import EntryLimits
from sapphireledge.entry.json_memory import estimate_json_memory
from sapphireledge.limits import (
    MAX_RESPONSE_BYTES,
    RESPONSE_BUDGET,
    CallerBudgets,
    CallerLedger,
    LimitReason,
    create_listening_socket,
)
from sapphireledge.rpc import ConnectionLedgers
from sapphireledge.settings import CallerSettings, MachineSettings, load_settings
from sapphireledge.telemetry import Metrics

HOST = "127.0.0.1"
LARGE = 4_194_304
CFG = CallerSettings(max_header=4_096)
SHORT = replace(CallerBudgets().callers, total_bytes=400_000, large_bytes=300_000)


EXAMPLE = Path(__file__).parent.parent / "examples" / "rinks" / "odense-a-1.json"


def load_example():
    """Loads settings without values for the limits."""
    cfg = load_settings(EXAMPLE)
    return replace(cfg, telemetry=replace(cfg.telemetry, statsd_host=""))


class LargeAnswers:
    """Holds the first large answers back until all requests for them have arrived."""

    expected = 1
    arrived = 0


async def echo(scope, receive, send):
    """Answers with the path and the size of the body; /early answers without reading it.

    The answer of /large is `LARGE` bytes.
    """
    size, more = 0, not scope["path"].startswith("/early")
    while more:
        message = await receive()
        if message["type"] != "http.request":
            return
        size += len(message["body"])
        more = message["more_body"]
    body = f"{scope['path']} {size}".encode()
    if scope["path"] == "/large":
        LargeAnswers.arrived += 1
        await asyncio.sleep(0.1)
        while LargeAnswers.arrived < LargeAnswers.expected:
            await asyncio.sleep(0.01)
        body = bytes(LARGE)
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def post(path, size):
    return b"POST %s HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % (path, size)


class CallerProtocolTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that limits on connections delay, lose or mix up."""

    async def asyncSetUp(self):
        self.limited = []
        self.ledger = CallerLedger(CallerBudgets().callers, self.limited.append)
        self.server = server = CallerServer(echo, CFG, self.ledger)
        self.sock = create_listening_socket(HOST, 0)
        task = asyncio.create_task(server.serve(sockets=[self.sock]))

        async def stop():
            server.should_exit = server.force_exit = True
            await task

        self.addAsyncCleanup(stop)
        while not server.started:
            await asyncio.sleep(0.01)

    async def connect(self):
        reader, writer = await asyncio.open_connection(*self.sock.getsockname())
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def read(self, reader):
        """Reads a response; returns the status line and the body."""
        async with asyncio.timeout(10.0):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            size = int(head.partition(b"content-length: ")[2].split(b"\r")[0])
            return head, await reader.readexactly(size)

    async def ask(self, *parts):
        """Sends the parts one after another; returns the first response."""
        reader, writer = await self.connect()
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        return await self.read(reader)

    async def test_requests_ahead_are_answered_in_order(self):
        reader, writer = await self.connect()
        for number in range(30):
            writer.write(post(b"/%d" % number, 5_000) + bytes(5_000))
        for number in range(30):
            _, body = await self.read(reader)
            self.assertEqual(body, b"/%d 5000" % number)

    async def test_request_in_any_pieces(self):
        data = post(b"/a", 300) + bytes(300)
        for size in (1, 7, 100, 2_000):
            reader, writer = await self.connect()
            for start in range(0, len(data), size):
                writer.write(data[start : start + size])
                await asyncio.sleep(0)
            self.assertEqual((await self.read(reader))[1], b"/a 300")

    async def test_answer_before_the_body_leaves_the_connection_usable(self):
        reader, writer = await self.connect()
        writer.write(post(b"/early", 100_000))
        self.assertEqual((await self.read(reader))[1], b"/early 0")
        writer.write(bytes(100_000) + post(b"/b", 3) + b"abc" + post(b"/c", 0))
        self.assertEqual((await self.read(reader))[1], b"/b 3")
        self.assertEqual((await self.read(reader))[1], b"/c 0")

    async def test_head_over_the_limit_is_rejected(self):
        for field in (b"a: " + bytes(5_000).replace(b"\0", b"x"), b"a: b\r\n" * 1_000):
            head = post(b"/a", 0)[:-2] + field + b"\r\n\r\n"
            reader, writer = await self.connect()
            writer.write(head)
            self.assertIn(b" 400 ", await reader.readline())

    async def test_body_without_memory_is_refused_as_not_run(self):
        self.ledger.limits = SHORT
        head, body = await self.ask(post(b"/a", 900_000), bytes(390_000))
        error = msgspec.json.decode(body)["error"]
        self.assertTrue(head.startswith(b"http/1.1 503"))
        self.assertIn(b"retry-after: 1\r\n", head)
        self.assertEqual((error["type"], error["ran"]), ("overloaded", "no"))
        self.assertIn(LimitReason.NO_MEMORY, self.limited)
        self.assertEqual((await self.ask(post(b"/b", 3) + b"abc"))[1], b"/b 3")

    async def start_reading(self, *fields):
        """Asks for a large answer over a connection with a small window."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_448)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, self.sock.getsockname())
        reader, writer = await asyncio.open_connection(sock=sock, limit=8_192)
        # The deletion of a writer closes its connection.
        self.addCleanup(writer.close)
        writer.write(b"\r\n".join((b"GET /large HTTP/1.1", b"host: x", *fields, b"\r\n")))
        return reader

    async def read_steadily(self, reader, size=32_768, pause=0.005):
        """Reads a large answer; returns how much of the body arrives."""
        await reader.readuntil(b"\r\n\r\n")
        received = 0
        while received < LARGE and (data := await reader.read(size)):
            received += len(data)
            await asyncio.sleep(pause)
        return received

    async def test_answers_that_are_read_are_not_cut_for_memory(self):
        LargeAnswers.arrived, LargeAnswers.expected = 0, 12
        self.addCleanup(setattr, LargeAnswers, "expected", 1)
        readers = [await self.start_reading() for _ in range(12)]
        received = await asyncio.gather(*map(self.read_steadily, readers))
        self.assertEqual(received, [LARGE] * 12)

    async def test_requests_are_refused_while_answers_take_all_memory(self):
        self.ledger.limits = SHORT
        reader = await self.start_reading()
        await asyncio.sleep(0.2)
        head, body = await self.ask(post(b"/b", 0))
        self.assertTrue(head.startswith(b"http/1.1 503"))
        self.assertEqual(msgspec.json.decode(body)["error"]["ran"], "no")
        self.assertEqual(await self.read_steadily(reader), LARGE)
        self.assertEqual((await self.ask(post(b"/b", 0)))[1], b"/b 0")

    async def test_last_answer_is_delivered_to_a_slow_reader(self):
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        with mock.patch.object(caller_protocol, "LINGER_TIME", 0.2):
            reader = await self.start_reading(b"connection: close")
            self.assertEqual(await self.read_steadily(reader, pause=0.01), LARGE)
            await asyncio.sleep(0.4)
        self.assertEqual(errors, [])

    async def test_last_answer_that_is_not_read_is_reset(self):
        with mock.patch.object(caller_protocol, "LINGER_TIME", 0.2):
            await self.start_reading(b"connection: close")
            await asyncio.sleep(1.0)
        self.assertEqual(self.ledger.connections, 0)

    async def test_head_that_arrives_around_the_keep_alive_timeout(self):
        self.server.config.timeout_keep_alive = 0.3
        reader, writer = await self.connect()
        writer.write(post(b"/a", 0))
        await self.read(reader)
        await asyncio.sleep(0.2)
        writer.write(post(b"/b", 0)[:10])
        await asyncio.sleep(0.3)
        writer.write(post(b"/b", 0)[10:])
        self.assertEqual((await self.read(reader))[1], b"/b 0")

    async def test_all_memory_is_given_back(self):
        for request in (post(b"/a", 50_000) + bytes(50_000), post(b"/early", 50_000) + b"x"):
            await self.ask(request)
        reader, writer = await self.connect()
        writer.write(post(b"/a", 50_000) + bytes(50_000))
        await self.read(reader)
        self.assertEqual(sum(each.extra for each in self.ledger._accounts), 0)


class EntryLimitsTest(unittest.TestCase):
    """Guards against shares of a machine that are more than the whole."""

    def test_places_leave_sockets_for_backend_servers(self):
        metrics = Metrics(load_example())
        self.addCleanup(RESPONSE_BUDGET.resize, MAX_RESPONSE_BYTES)
        for sockets in (256, 1_335, 20_000):
            limits = EntryLimits(MachineSettings(descriptors=sockets), metrics)
            ledgers = [limits.callers]
            for each in (limits.peers, limits.operators):
                ledgers += [each.strangers, each.clients]
            places = sum(ledger.limits.connections for ledger in ledgers)
            self.assertLessEqual(places, sockets * 7 // 8)
            outgoing = limits.callers.limits.connections
            self.assertLessEqual(places + outgoing, max(sockets - 200, sockets // 2))

    def test_a_fleet_can_connect_at_once(self):
        budgets = CallerBudgets(536_870_912, 4_000)
        places = ConnectionLedgers.of_peers(budgets, print).strangers.limits.connections
        self.assertGreaterEqual(places, 200)

    def test_largest_legal_requests_fit(self):
        cfg = load_example()
        limits = CallerBudgets(cfg.machine.memory).callers
        body = b"[" + b"{}," * (cfg.callers.max_body // 3)
        self.assertLessEqual(estimate_json_memory(body), limits.large_bytes)
        self.assertLessEqual(
            cfg.peers.max_message, CallerBudgets(cfg.machine.memory).peers.large_bytes
        )


if __name__ == "__main__":
    unittest.main()
