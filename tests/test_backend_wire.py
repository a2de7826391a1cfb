"""Tests of the backend clients against servers that violate the protocol."""

from __future__ import annotations

import asyncio
import time
import unittest

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st
from standin_case import StandinCase, collect, join_text, make_call

from sapphireledge.backends import (
    FOREIGN_ATTEMPT,
    AttemptFinished,
    CachePage,
    CallFailure,
    CallFailureCause,
    ConnectionPools,
    EngineClient,
    EngineOrder,
    LoadReport,
    OrderStatus,
    ServiceClient,
    StreamToken,
    prefix_block_hashes,
)
from sapphireledge.backends.event_too_long import EventTooLong
from sapphireledge.backends.sse_reader import SseReader
from sapphireledge.core.fleet import OrderAction
from sapphireledge.errors import Ran

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
LAST_HTTP_CHUNK = b"0\r\n\r\n"
MALFORMED_CHUNK = b'{"choices": "none", "sapphireledge": {"attempt_id": 3, "offset": "x"}}'


def sse_chunk(offset, text="a", attempt="r1.1.1", finish=None, **extension) -> bytes:
    fields = {"attempt_id": attempt, "offset": offset, **extension}
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    body = msgspec.json.encode({"choices": [choice], "sapphireledge": fields})
    return b"data: " + body + b"\n\n"


def http_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


FINISH_CHUNK = sse_chunk(1, "", finish="stop", total_tokens=1)


class SseReaderTest(unittest.TestCase):
    """Guards against events that are lost or split at packet boundaries."""

    @given(
        st.lists(st.text(st.characters(exclude_characters="\r\n", codec="utf-8")), max_size=6),
        st.lists(st.integers(0, 400), max_size=8),
        st.sampled_from(["\n", "\r\n", "\r"]),
    )
    @example(["\u2028\u2029\x85"], [10], "\n")
    def test_events_do_not_depend_on_packet_boundaries(self, texts, cuts, end):
        stream = "".join(f": note{end}data: {text}{end}id: 7{end}{end}" for text in texts)
        # A CR at the very end could still be the first byte of a CRLF, so a colon follows it.
        data = (stream + (":" if end == "\r" else "")).encode()
        reader, events, start = SseReader(), [], 0
        for cut in [*sorted(cuts), len(data)]:
            events += reader.feed(data[start:cut])
            start = max(start, min(cut, len(data)))
        self.assertEqual([event.decode() for event in events], texts)

    def test_event_in_small_pieces_costs_linear_time(self):
        times = []
        for size in (100_000, 400_000):
            started = time.thread_time()
            with SseReader() as reader:
                for _ in range(size // 20):
                    list(reader.feed(b"data: word word wor\n"))
            times.append(time.thread_time() - started)
        self.assertLess(times[1], 10 * times[0] + 0.02)

    def test_event_over_the_size_limit_is_rejected(self):
        reader = SseReader()
        with self.assertRaises(EventTooLong):
            for _ in range(20):
                list(reader.feed(b"x" * 100_000))


class MalformedStreamTest(StandinCase):
    """Guards against malformed responses that raise, hang or add tokens."""

    async def collect_from_raw_server(self, data: bytes, call=None) -> list:
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()

        address = await self.start_raw_server(answer)
        async with asyncio.timeout(5):
            return await collect(EngineClient(address, self.pools, 0.5), call or make_call())

    async def test_token_text_keeps_line_separators(self):
        text = "a\u2028b\u2029c\x85d\x0b\n\r\\é😀"
        events = await self.collect_from_raw_server(
            HEAD + http_chunk(sse_chunk(0, text) + FINISH_CHUNK) + LAST_HTTP_CHUNK
        )
        self.assertEqual(events[1:], [StreamToken(1, 0, text), AttemptFinished(1, "stop")])

    async def test_identical_chunks_are_both_delivered(self):
        events = await self.collect_from_raw_server(
            HEAD + http_chunk(sse_chunk(0) * 2 + FINISH_CHUNK) + LAST_HTTP_CHUNK
        )
        self.assertEqual(join_text(events), "aa")

    async def test_chunks_of_other_attempts_are_attributed(self):
        ids = ["r1.1.0", "r2.1.1", "r1.1.x", "r1.1.", "", "r1.1.1.1", "r1.1.²", "r1.1.9999999999"]
        data = b"".join(sse_chunk(0, "x", attempt) for attempt in ids)
        late_end = sse_chunk(9, "", "r1.1.0", finish="stop")
        events = await self.collect_from_raw_server(
            HEAD + http_chunk(data + late_end + FINISH_CHUNK) + LAST_HTTP_CHUNK
        )
        self.assertEqual([e.attempt for e in events[1:-1]], [0] + [FOREIGN_ATTEMPT] * 7)
        self.assertEqual(events[-1], AttemptFinished(1, "stop"))

    async def test_failed_streams_have_cause_and_ran(self):
        token = http_chunk(sse_chunk(0))
        error = http_chunk(b'data: {"error": {"code": "oom"}}\n\n')
        text_in_finish = http_chunk(sse_chunk(0, "lost", finish="stop"))
        plain = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
        fault = b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"
        cases = [
            (HEAD + token + LAST_HTTP_CHUNK, CallFailureCause.TRUNCATED, Ran.YES),
            (HEAD + token, CallFailureCause.CONNECTION_LOST, Ran.YES),
            (HEAD + token + b"ffff\r\nabc", CallFailureCause.CONNECTION_LOST, Ran.YES),
            (HEAD + token + b"-5\r\nabc\r\n", CallFailureCause.CONNECTION_LOST, Ran.YES),
            (HEAD, CallFailureCause.CONNECTION_LOST, Ran.UNKNOWN),
            (HEAD + token + error, CallFailureCause.SERVER_ERROR, Ran.YES),
            (
                HEAD + http_chunk(b"data: " + MALFORMED_CHUNK + b"\n\n"),
                CallFailureCause.MALFORMED,
                Ran.UNKNOWN,
            ),
            (HEAD + token + http_chunk(b"data: \xff\xfe\n\n"), CallFailureCause.MALFORMED, Ran.YES),
            (HEAD + text_in_finish, CallFailureCause.MALFORMED, Ran.UNKNOWN),
            (plain, CallFailureCause.MALFORMED, Ran.UNKNOWN),
            (fault, CallFailureCause.SERVER_ERROR, Ran.UNKNOWN),
            (b"", CallFailureCause.CONNECTION_LOST, Ran.UNKNOWN),
            (b"\x16\x03\x01 no http\r\n\r\n", CallFailureCause.MALFORMED, Ran.UNKNOWN),
        ]
        for data, cause, ran in cases:
            with self.subTest(data=data[-60:]):
                end = (await self.collect_from_raw_server(data))[-1]
                self.assertEqual((end.cause, end.ran), (cause, ran))

    async def test_invalid_header_value_is_rejected_before_sending(self):
        (failure,) = await self.collect_from_raw_server(b"", make_call("a\r\nb"))
        self.assertEqual((failure.cause, failure.ran), (CallFailureCause.INVALID, Ran.NO))


class RandomResponseTest(unittest.TestCase):
    """Guards against response bytes that raise or end a call without a typed result."""

    @settings(max_examples=80)
    @given(
        st.sampled_from([b"", HEAD, b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 409 X\r\n"]),
        st.lists(
            st.one_of(
                st.binary(max_size=40),
                st.sampled_from(
                    [
                        b"\r\n",
                        b"data: ",
                        b"\n\n",
                        LAST_HTTP_CHUNK,
                        http_chunk(sse_chunk(0)),
                        FINISH_CHUNK,
                    ]
                ),
                st.binary(max_size=40).map(lambda data: http_chunk(b"data: " + data + b"\n\n")),
            ),
            max_size=6,
        ),
    )
    def test_random_bytes_end_in_a_typed_result(self, head, parts):
        async def handle(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head + b"".join(parts))
                await writer.drain()
            except (OSError, EOFError):
                pass
            finally:
                writer.close()

        async def run():
            server = await asyncio.start_server(handle, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            pools = ConnectionPools(4, 4, 4)
            client = EngineClient(address, pools, 0.3, 0.3)
            try:
                events = await collect(client, make_call())
                self.assertIsInstance(events[-1], CallFailure | AttemptFinished)
                self.assertFalse(
                    any(isinstance(e, CallFailure | AttemptFinished) for e in events[:-1])
                )
                self.assertIsInstance(await client.load(), CallFailure | LoadReport)
                self.assertIsInstance(await client.cache_events(0), CallFailure | CachePage)
                await client.probe("r1.1.1")
                await client.cancel("r1.1.1")
                order = await client.order(EngineOrder("o", OrderAction.SET_ROLE, 1, role="r"))
                self.assertIsInstance(order.status, OrderStatus)
                await ServiceClient(address, pools).call("POST", "/b", {}, b"x", 0.3)
            finally:
                await pools.close()
                server.close()

        asyncio.run(run())


class ConnectionReuseTest(StandinCase):
    """Guards against reading the response to an earlier call on a reused connection."""

    async def test_late_response_is_not_read_by_the_next_call(self):
        async def answer(reader, writer):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split()[1]
                if path == b"/slow":
                    await asyncio.sleep(0.2)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(path) + path)
                await writer.drain()

        # With a single connection, the next call could only reuse the one of the slow call.
        pools = ConnectionPools(1, 1, 1)
        self.addAsyncCleanup(pools.close)
        client = ServiceClient(await self.start_raw_server(answer), pools)
        for path, limit in (("/first", 1.0), ("/slow", 0.1), ("/third", 1.0)):
            result = await client.call("GET", path, {}, b"", limit, idempotent=True)
            if path == "/slow":
                self.assertEqual(result.cause, CallFailureCause.NO_ANSWER)
            else:
                self.assertEqual(result.body.decode(), path)

    async def test_unsolicited_response_is_not_read_by_the_next_call(self):
        async def answer(reader, writer):
            number = 0
            while True:
                await reader.readuntil(b"\r\n\r\n")
                number += 1
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n%d" % number)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlost")
                await writer.drain()

        client = ServiceClient(await self.start_raw_server(answer), self.pools)
        for _ in range(2):
            result = await client.call("GET", "/", {}, b"", 1.0, idempotent=True)
            self.assertEqual(result.body, b"1")
            await asyncio.sleep(0.02)


class PrefixHashTest(unittest.TestCase):
    """Guards against block hashes that differ between engine and router."""

    @given(st.text(max_size=900), st.text(max_size=300))
    def test_longer_text_keeps_the_hashes_of_its_prefix(self, text, more):
        hashes = prefix_block_hashes(text)
        self.assertEqual(prefix_block_hashes(text + more)[: len(hashes)], hashes)
        self.assertEqual(len(hashes), len(text.encode()) // 256)

    def test_equal_blocks_at_different_positions_have_different_hashes(self):
        hashes = prefix_block_hashes("a" * 600)
        self.assertEqual(len(hashes), 2)
        self.assertNotEqual(hashes[0], hashes[1])
