"""Caller that does not keep to the limits."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from soak.http import count_lost_connection
from soak.record import CallRecord

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from soak.entry import Entry
    from soak.record import Record

__all__ = ["UncontrolledCaller"]

BODY_BYTES = 1_000_000
MISSING_BYTES = 5
"""Bytes by which incomplete bodies stop short."""

CONNECTIONS = 8
"""Connections of one visit, all of the same manner."""

DRIP_INTERVAL = 0.05
"""Seconds between two bytes of a slow sender."""

REQUESTS_AHEAD = 50
"""Requests sent on one connection without reading an answer."""

_request_numbers = itertools.count(1)


class UncontrolledCaller:
    """Visits entries with connections that stop short, drip, never read or send ahead.

    The record does not know the ids of incomplete requests, so that one that runs is a violation.
    """

    def __init__(self, record: Record, rng: Random, keys: list[str]) -> None:
        self._record = record
        self._rng = rng
        self._keys = keys
        self._manners = (self._stop_short, self._drip, self._never_read, self._send_ahead)

    async def visit(self, entry: Entry) -> None:
        """Visits an entry and leaves without a word.

        Args:
            entry: Entry to connect to.
        """
        manner = self._rng.choice(self._manners)
        seconds = self._rng.uniform(0.2, 3.0)
        visits = [asyncio.create_task(self._act(entry, manner)) for _ in range(CONNECTIONS)]
        try:
            await asyncio.sleep(seconds)
        finally:
            for task in visits:
                task.cancel()
            await asyncio.gather(*visits, return_exceptions=True)

    async def _act(
        self, entry: Entry, manner: Callable[[asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        writer = None
        try:
            _, writer = await asyncio.open_connection(*entry.address, limit=1)
            await manner(writer)
            await asyncio.Event().wait()
        except OSError as exc:
            count_lost_connection("uncontrolled caller", exc)
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _stop_short(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head("/once/", BODY_BYTES) + bytes(BODY_BYTES - MISSING_BYTES))
        await writer.drain()

    async def _drip(self, writer: asyncio.StreamWriter) -> None:
        for byte in self._head("/plain/", BODY_BYTES) + bytes(BODY_BYTES):
            writer.write(bytes((byte,)))
            await asyncio.sleep(DRIP_INTERVAL)

    async def _never_read(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head("/stream/", 1, is_complete=True) + b"x")
        await writer.drain()

    async def _send_ahead(self, writer: asyncio.StreamWriter) -> None:
        for _ in range(REQUESTS_AHEAD):
            writer.write(self._head("/plain/", 1, is_complete=True) + b"x")
            await writer.drain()

    def _head(self, path: str, length: int, *, is_complete: bool = False) -> bytes:
        """Builds a head; the record learns the ids of requests that will be complete."""
        request_id = f"odd{next(_request_numbers)}"
        key = self._rng.choice(self._keys)
        if is_complete:
            call = CallRecord(request_id, path, key, time.monotonic(), is_controlled=False)
            self._record.calls[request_id] = call
        lines = (
            f"POST {path} HTTP/1.1",
            "host: soak.example",
            f"x-sapphireledge-request-id: {request_id}",
            "x-sapphireledge-deadline-ms: 4000",
            f"authorization: Token {key}",
            f"content-length: {length}",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
