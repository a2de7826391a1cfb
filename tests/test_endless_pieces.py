"""Tests of endless responses in small pieces, which must not keep the event loop of an instance."""

from __future__ import annotations

import asyncio
import time
import unittest

from gateway_case import SEAL, GatewayCase, chunk, event, signed_response, stream_head
from loop_watch import own_time

from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.event_splitter import MAX_EVENT_BYTES, EventSplitter
from sapphireledge.limits import MAX_RESPONSE_BYTES, TimeSlice
from sapphireledge.limits.buffer_share import FREE_BYTES

PIECES_PER_WRITE = 2048
ENDLESS_STREAMS = 4
LONGEST_WAIT = 0.5
"""Seconds within which a request to another service is answered."""


async def send_pieces(writer, piece):
    """Sends a piece without end, until the other side closes the connection."""
    while not writer.is_closing():
        writer.write(piece * PIECES_PER_WRITE)
        await writer.drain()


def process_bytes():
    """Keeps the event loop for half a millisecond."""
    time.sleep(0.0005)


def feed(splitter, pieces):
    """Feeds pieces to a splitter; returns the seconds that it took."""
    started = time.thread_time()
    for piece in pieces:
        for _ in splitter.feed(piece):
            pass
    return time.thread_time() - started


class EventSplitterTest(unittest.TestCase):
    """Guards against events whose parsing costs more than linear time or unbounded memory."""

    def test_event_in_small_pieces_costs_linear_time(self):
        times = []
        for size in (60_000, 240_000):
            with EventSplitter() as splitter:
                times.append(feed(splitter, [b"data: word word wor\n"] * (size // 20)))
        self.assertLess(times[1], 10 * times[0] + 0.02)

    def test_boundaries_split_at_any_position(self):
        for boundary in (b"\n\n", b"\r\n\r\n", b"\r\r"):
            body = b"".join(b"id: %d\ndata: x" % n + boundary for n in range(3))
            for size in range(1, 9):
                pieces = [body[i : i + size] for i in range(0, len(body), size)]
                with EventSplitter() as splitter:
                    events = [e for piece in pieces for e in splitter.feed(piece)]
                    self.assertFalse(splitter.has_partial_event)
                self.assertEqual([e.number for e in events], [0, 1, 2])
                self.assertEqual(b"".join(e.raw for e in events), body)

    def test_comments_without_end_are_an_error(self):
        comments = [b": keep-alive\n\n" * 100] * (MAX_EVENT_BYTES // 1000)
        with EventSplitter() as splitter, self.assertRaises(BackendResponseError):
            feed(splitter, comments)

    def test_incomplete_events_share_a_memory_limit(self):
        splitters = [EventSplitter() for _ in range(2 * MAX_RESPONSE_BYTES // MAX_EVENT_BYTES)]
        held = 0
        try:
            with self.assertRaises(BackendResponseError):
                for splitter in splitters:
                    feed(splitter, [b"x" * MAX_EVENT_BYTES])
                    held += MAX_EVENT_BYTES
        finally:
            for splitter in splitters:
                splitter.__exit__()
        self.assertLessEqual(held, MAX_RESPONSE_BYTES + len(splitters) * FREE_BYTES)
        for splitter in splitters:
            feed(splitter, [b"x" * (FREE_BYTES - 1)])
            splitter.__exit__()
        with EventSplitter() as splitter:
            feed(splitter, [b"x" * MAX_EVENT_BYTES])


class TimeSliceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that keep the event loop together, each within its own limit."""

    async def test_many_busy_connections_leave_half_of_the_loop(self):
        async def work():
            time_slice = TimeSlice()
            while True:
                process_bytes()
                await time_slice.checkpoint()

        tasks = [asyncio.create_task(work()) for _ in range(40)]
        await asyncio.sleep(0.3)
        longest = 0.0
        for _ in range(20):
            started = time.monotonic()
            await asyncio.sleep(0)
            longest = max(longest, time.monotonic() - started)
        for task in tasks:
            task.cancel()
        self.assertLess(longest, 0.1)


class EndlessPiecesTest(GatewayCase):
    """Guards against endless responses during which an instance answers nobody."""

    async def assert_others_are_answered(self, piece):
        """Calls another service while several responses do not end."""

        async def flood(request, writer):
            writer.write(stream_head(request))
            await send_pieces(writer, piece)

        async def succeed(request, writer):
            writer.write(signed_response(request))

        await self.add("llm", flood)
        await self.add("app", succeed)
        floods = [asyncio.create_task(self.call("/stream/")) for _ in range(ENDLESS_STREAMS)]
        loop = asyncio.get_running_loop()
        end, longest = loop.time() + 2.0, 0.0
        while loop.time() < end:
            started = own_time()
            response = await self.call("/plain/")
            self.assertEqual(response.status, 200)
            longest = max(longest, own_time() - started)
            await asyncio.sleep(0.02)
        for task in floods:
            task.cancel()
        await asyncio.gather(*floods, return_exceptions=True)
        self.assertLess(longest, LONGEST_WAIT)

    async def test_lines_of_an_event(self):
        await self.assert_others_are_answered(chunk(b"data: word word wor\n"))

    async def test_comments(self):
        await self.assert_others_are_answered(chunk(b":\n\n"))

    async def test_events_without_a_number(self):
        await self.assert_others_are_answered(chunk(b"data: x\n\n"))

    async def test_chunks_of_a_byte(self):
        await self.assert_others_are_answered(chunk(b"x"))

    async def test_numbered_events(self):
        """Replays complete, valid events that arrive faster than they are forwarded."""
        events = b"".join(chunk(event(number)) for number in range(60_000))

        async def flood(request, writer):
            writer.write(stream_head(request) + events)
            await writer.drain()

        async def succeed(request, writer):
            writer.write(signed_response(request))

        await self.add("llm", flood)
        await self.add("app", succeed)
        floods = [asyncio.create_task(self.call("/stream/")) for _ in range(ENDLESS_STREAMS)]
        await asyncio.sleep(0.5)
        started = asyncio.get_running_loop().time()
        self.assertEqual((await self.call("/plain/")).status, 200)
        waited = asyncio.get_running_loop().time() - started
        for task in floods:
            task.cancel()
        await asyncio.gather(*floods, return_exceptions=True)
        self.assertLess(waited, LONGEST_WAIT)

    async def test_plain_bodies_in_chunks_of_a_byte(self):
        async def flood(request, writer):
            writer.write(
                f"HTTP/1.1 200 OK\r\n{SEAL}: s\r\ntransfer-encoding: chunked\r\n\r\n".encode()
            )
            await send_pieces(writer, chunk(b"x"))

        async def succeed(request, writer):
            writer.write(signed_response(request))

        await self.add("app", flood)
        await self.add("llm", succeed)
        floods = [asyncio.create_task(self.call("/plain/")) for _ in range(ENDLESS_STREAMS)]
        await asyncio.sleep(0.3)
        loop = asyncio.get_running_loop()
        longest = 0.0
        for _ in range(20):
            started = loop.time()
            await self.call("/stream/")
            longest = max(longest, loop.time() - started)
        for task in floods:
            task.cancel()
        await asyncio.gather(*floods, return_exceptions=True)
        self.assertLess(longest, LONGEST_WAIT)


if __name__ == "__main__":
    unittest.main()
