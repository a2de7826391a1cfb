"""Tests that no sender without end takes the memory or the event loop of an instance."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import sys
import termios
import tracemalloc
import unittest
from contextlib import aclosing
from functools import partial
from unittest.mock import Mock, patch

import uvicorn
from gateway_case import HOST, GatewayCase, chunk, encode_json, full_response, signed_response
from loop_watch import LoopWatch
from standin_case import make_call

from sapphireledge.backends import AttemptStarted, CallFailureCause, ConnectionPools, EngineClient
from sapphireledge.entry.caller_protocol import CallerProtocol
from sapphireledge.feed import SourceError, StoreEpoch
from sapphireledge.feed.feed_channel import read_message
from sapphireledge.feed.feed_message import FeedRequest
from sapphireledge.feed.feed_server import MAX_REQUEST_BYTES
from sapphireledge.gateway import caller_connection
from sapphireledge.gateway.caller_connection import MAX_UNPARSED_BYTES
from sapphireledge.gateway.text_endpoint import TextEndpoint
from sapphireledge.limits import CallerBudgets, CallerLedger, ReceiveWindow, start_listener
from sapphireledge.objects import create_http_client
from sapphireledge.objects._private import CallError, send_request
from sapphireledge.platform.store_client import MAX_LISTING_BYTES, StoreClient
from sapphireledge.platform.store_settings import StoreSettings

LONGEST_WAIT = 0.5
"""Seconds within which other requests are answered."""


async def send_until_closed(writer, data, seconds):
    """Sends bytes until the other side closes, at most for some seconds."""
    try:
        async with asyncio.timeout(seconds):
            while True:
                writer.write(data)
                await writer.drain()
    except (OSError, TimeoutError):
        return


async def answer(request, writer):
    writer.write(signed_response(request))


class CallerTest(GatewayCase):
    """Guards against callers that send without end."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.add("app", answer)

    async def flood(self, start, data, seconds=1.0):
        """Sends from one caller without end; returns the longest standstill of the loop."""
        _, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(start)
        watch = LoopWatch()
        try:
            await send_until_closed(writer, data, seconds)
        finally:
            writer.transport.abort()
        return watch.stop()

    async def test_body_in_chunks_of_a_byte(self):
        head = self.head("/plain/", transfer_encoding="chunked") + b"\r\n"
        self.assertLess(await self.flood(head, chunk(b"x") * 50_000), LONGEST_WAIT / 4)

    async def test_pipelined_requests(self):
        request = self.head("/none/") + b"content-length: 0\r\n\r\n"
        self.assertLess(await self.flood(b"", request * 500), LONGEST_WAIT / 4)

    async def test_bytes_during_a_request_take_bounded_memory(self):
        released = asyncio.Event()

        async def hold(request, writer):
            await released.wait()
            writer.write(signed_response(request))

        self.servers[0].handle = hold
        start = self.head("/plain/") + b"content-length: 1\r\n\r\nx"
        tracemalloc.start()
        try:
            await self.flood(start, b"x" * 1_000_000, 1.0)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            released.set()
        # The sender itself holds a few megabytes.
        self.assertLess(peak, 6_000_000 + 4 * MAX_UNPARSED_BYTES)

    async def test_bodies_of_many_callers_share_a_memory_limit(self):
        size = 4_000_000
        count = 2 * CallerBudgets().callers.large_bytes // size
        connections = []
        for _ in range(count):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(self.head("/plain/") + f"content-length: {size}\r\n\r\n".encode())
            writer.write(b"x" * (size - 1))
            connections.append((reader, writer))
        refused = []
        loop = asyncio.get_running_loop()
        end = loop.time() + 10.0
        while len(refused) < count // 2 - 1 and loop.time() < end:
            await asyncio.sleep(0.1)
            refused = [reader for reader, _ in connections if reader._buffer]
        self.assertGreaterEqual(len(refused), count // 2 - 1)
        for reader in refused:
            head = bytes(reader._buffer)
            self.assertIn(b" 503 ", head)
            self.assertIn(b"retry-after", head.lower())
        for _, writer in connections:
            writer.transport.abort()
        await asyncio.sleep(0.1)
        response = await self.call("/plain/", b"x" * size)
        self.assertEqual(response.status, 200)

    async def test_linger_timer_ends_with_the_connection(self):
        """An abort of a closed transport raises an exception."""
        for is_lost in (True, False):
            with self.subTest(is_lost=is_lost):
                transport = Mock(spec=asyncio.Transport)
                transport.get_extra_info.return_value = None
                transport.get_write_buffer_size.return_value = 5_000
                conn = self.gateway.create_protocol()
                with patch.object(caller_connection, "LINGER_TIME", 0.2):
                    conn.connection_made(transport)
                    await asyncio.sleep(0)
                    conn.eof_received()
                    await asyncio.sleep(0.1)
                    if is_lost:
                        conn.connection_lost(None)
                    transport.get_write_buffer_size.return_value = 4_000
                    await asyncio.sleep(0.2)
                    transport.abort.assert_not_called()
                    await asyncio.sleep(0.3)
                self.assertEqual(transport.abort.called, not is_lost)

    async def test_refusal_reaches_a_caller_that_sends_its_body_first(self):
        """Guards against a reset that overtakes the refusal of a body."""
        head = self.head("/plain/") + b"content-length: 100000000\r\n\r\n"

        def send_and_read():
            with socket.create_connection((HOST, self.port), 10.0) as sock:
                sock.sendall(head)
                for _ in range(20):
                    sock.sendall(b"x" * 150_000)
                return sock.recv(100)

        for _ in range(5):
            self.assertIn(b" 413 ", await asyncio.to_thread(send_and_read))

    async def test_requests_to_the_text_endpoint(self):
        endpoint = TextEndpoint(lambda: (200, b"ok"))
        server = await asyncio.start_server(endpoint.serve, HOST, 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n")
        watch = LoopWatch()
        await send_until_closed(writer, chunk(b"x") * 50_000, 1.0)
        writer.transport.abort()
        server.close()
        self.assertLess(watch.stop(), LONGEST_WAIT / 4)


class ReportTest(GatewayCase):
    """Guards against reports whose decoding takes long."""

    async def test_large_report_is_not_decoded(self):
        engine = await self.add("llm", answer)
        engine.load = {"runs": [[]] * 1_000_000}
        server = self.gateway.context.registry.state(engine.server_id).server
        watch = LoopWatch()
        report = await self.gateway.context.report_client.fetch_report(server, 2.0)
        await asyncio.sleep(0.01)
        self.assertIsNone(report)
        self.assertLess(watch.stop(), LONGEST_WAIT / 2)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against responses of the store without end."""

    async def list_from(self, respond):
        """Lists a kind from a store with the given connection handler."""

        async def serve(reader, writer):
            try:
                await respond(reader, writer)
            except (OSError, EOFError):
                # The client has closed the connection.
                pass
            finally:
                writer.transport.abort()

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        client = StoreClient(StoreSettings(host=HOST, port=port), StoreEpoch())
        watch = LoopWatch()
        try:
            async with asyncio.timeout(20.0):
                with self.assertRaises(SourceError):
                    await client.list("servers")
        finally:
            client.close()
            server.close()
            self.assertLess(watch.stop(), LONGEST_WAIT)

    async def test_interim_responses(self):
        async def respond(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await send_until_closed(writer, b"HTTP/1.1 103 Early\r\n\r\n" * 1000, 3.0)

        await self.list_from(respond)

    async def test_body_in_chunks_of_a_byte(self):
        async def respond(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            await send_until_closed(writer, chunk(b" ") * 20_000, 10.0)

        await self.list_from(respond)

    async def test_pages(self):
        spec = "x" * 900_000
        item = {"metadata": {"name": "a", "revision": 1}, "spec": spec}
        page = full_response(
            200, {}, encode_json({"items": [item], "store_revision": 1, "more": True})
        )
        pages = 0

        async def respond(reader, writer):
            nonlocal pages
            while await reader.readuntil(b"\r\n\r\n"):
                pages += 1
                writer.write(page)
                await writer.drain()

        await self.list_from(respond)
        self.assertLessEqual(pages, MAX_LISTING_BYTES // len(spec) + 1)


class PausingProtocol(asyncio.Protocol):
    """Receives a large body and nothing after it, as during the request with that body."""

    BODY = 8_000_000

    def __init__(self):
        self.received = 0

    def connection_made(self, transport):
        self.transport = transport
        self.window = ReceiveWindow(transport)

    def data_received(self, data):
        self.received += len(data)
        self.window.expect(self.BODY - self.received)
        if self.received >= self.BODY:
            self.transport.pause_reading()

    def count_unread(self):
        """Returns how many bytes the kernel keeps."""
        sock = self.transport.get_extra_info("socket")
        size = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
        return int.from_bytes(size, sys.byteorder)


class UnlimitedProtocol(PausingProtocol):
    """Receives from a peer or a followed instance."""

    def connection_made(self, transport):
        self.transport = transport
        self.window = Mock()


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against unread bytes that the kernel buffers for each connection."""

    async def test_unread_bytes_after_a_large_body_are_bounded(self):
        loop = asyncio.get_running_loop()
        protocol = PausingProtocol()
        server = await start_listener(partial(loop.create_server, lambda: protocol), HOST, 0)
        client = socket.socket()
        client.setblocking(False)
        await loop.sock_connect(client, server.sockets[0].getsockname())
        sending = asyncio.create_task(loop.sock_sendall(client, bytes(40_000_000)))
        while protocol.received < PausingProtocol.BODY:
            await asyncio.sleep(0.05)
        unread = -1
        while unread < (unread := protocol.count_unread()):
            await asyncio.sleep(0.2)
        sending.cancel()
        client.close()
        server.close()
        protocol.transport.abort()
        self.assertLess(unread, 300_000)

    async def largest_window(self, accept):
        """Sends a large body to a listener; returns the largest window that it announces."""
        loop = asyncio.get_running_loop()
        protocol = accept()
        server = await start_listener(partial(loop.create_server, lambda: protocol), HOST, 0)
        self.addCleanup(server.close)
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_448)
        client.setblocking(False)
        await loop.sock_connect(client, server.sockets[0].getsockname())
        largest = 0
        while protocol.received < PausingProtocol.BODY - 16_384:
            await loop.sock_sendall(client, bytes(16_384))
            info = client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 232)
            largest = max(largest, int.from_bytes(info[228:232], sys.byteorder))
            await asyncio.sleep(0)
        protocol.transport.abort()
        return largest

    async def test_large_body_fills_a_round_trip(self):
        """4 MiB take less than 2 s at a round trip of 60 ms."""
        for accept in (PausingProtocol, UnlimitedProtocol):
            with self.subTest(accept=accept):
                self.assertGreater(await self.largest_window(accept), 200_000)


class OwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against engines and platforms of the project's own interface that send without end."""

    async def receive_from(self, start, data, receive):
        """Receives from a server that sends without end; returns what was received."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            await send_until_closed(writer, data, 15.0)
            writer.transport.abort()

        server = await asyncio.start_server(serve, HOST, 0)
        watch = LoopWatch()
        try:
            async with asyncio.timeout(20.0):
                return await receive(server.sockets[0].getsockname()[1])
        finally:
            server.close()
            self.assertLess(watch.stop(), LONGEST_WAIT)

    async def generate(self, port, seconds=3.0):
        """Runs a generation for some seconds at most; returns its events."""
        pools = ConnectionPools()
        events = []
        try:
            async with asyncio.timeout(seconds):
                client = EngineClient(f"{HOST}:{port}", pools, accept_timeout=seconds)
                async with aclosing(client.stream(make_call())) as stream:
                    async for event in stream:
                        events.append(event)
        except TimeoutError:
            pass
        finally:
            await pools.close()
        return events

    async def test_streams_in_small_pieces(self):
        head = (
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        for piece in (chunk(b"data: word word wor\n"), chunk(b":\n\n"), chunk(b"x")):
            with self.subTest(piece):
                events = await self.receive_from(head, piece * 5000, self.generate)
                self.assertEqual(events[0], AttemptStarted(1))

    async def test_bodies_of_callers_in_chunks_of_a_byte(self):
        """Replays callers of the HTTP server of the own interface, beside a sound one."""
        lengths = []

        async def app(scope, receive, send):
            size, more = 0, True
            while more:
                message = await receive()
                if message["type"] != "http.request":
                    return
                size += len(message["body"])
                more = message["more_body"]
            lengths.append(size)
            headers = [(b"content-length", b"0")]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            await send({"type": "http.response.body"})

        protocol = partial(CallerProtocol, ledger=CallerLedger(CallerBudgets().callers))
        cfg = uvicorn.Config(app, http=protocol, lifespan="off", log_level="critical")
        server = uvicorn.Server(cfg)
        server.capture_signals = contextlib.nullcontext
        sock = socket.create_server((HOST, 0))
        task = asyncio.create_task(server.serve(sockets=[sock]))
        await asyncio.sleep(0.2)
        writers = []
        for _ in range(4):
            _, writer = await asyncio.open_connection(*sock.getsockname())
            writer.write(b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n")
            writers.append(writer)
        watch = LoopWatch()
        floods = [
            asyncio.create_task(send_until_closed(w, chunk(b"x") * 20_000, 2)) for w in writers
        ]
        body = b"x" * 3_000_000
        reader, writer = await asyncio.open_connection(*sock.getsockname())
        for part in (b"POST / HTTP/1.1\r\nhost: x\r\n", b"content-length: %d\r\n\r\n" % len(body)):
            writer.write(part)
        writer.write(body)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10.0)
        await asyncio.gather(*floods)
        self.assertLess(watch.stop(), LONGEST_WAIT)
        self.assertTrue(head.startswith(b"HTTP/1.1 200"))
        self.assertEqual(lengths, [len(body)])
        for each in (*writers, writer):
            each.transport.abort()
        server.should_exit = server.force_exit = True
        await task

    async def test_head(self):
        tracemalloc.start()
        try:
            start, data = b"HTTP/1.1 200 OK\r\n", b"x-h: 1\r\n" * 9999
            events = await self.receive_from(start, data, partial(self.generate, seconds=15.0))
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertIs(events[0].cause, CallFailureCause.MALFORMED)
        self.assertLess(peak, 8_000_000)

    async def test_object_in_chunks_of_a_byte(self):
        async def read(port):
            client = create_http_client(1)
            return await send_request(
                client,
                "GET",
                f"http://{HOST}:{port}/",
                timeout=1.5,
                connect_timeout=1.0,
                headers={},
            )

        start = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        answer = await self.receive_from(start, chunk(b"x") * 20_000, read)
        self.assertIs(answer, CallError.NO_ANSWER)


class FeedChannelTest(unittest.IsolatedAsyncioTestCase):
    """Guards against messages that announce more than they may hold."""

    async def test_large_request_is_refused_before_it_is_read(self):
        reader = asyncio.StreamReader()
        reader.feed_data((MAX_REQUEST_BYTES + 1).to_bytes(4, "big"))
        with self.assertRaises(SourceError):
            async with asyncio.timeout(1.0):
                await read_message(reader, FeedRequest, MAX_REQUEST_BYTES)


if __name__ == "__main__":
    unittest.main()
