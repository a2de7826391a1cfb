"""Connection whose responses are limited in size and in event loop time."""

from __future__ import annotations

import asyncio
import re

from aiosonic.connection import Connection
from aiosonic.exceptions import HttpParsingError

from sapphireledge.limited_http.response_too_long import ResponseTooLong
from sapphireledge.limits import RESPONSE_BUDGET, BufferShare, TimeSlice

__all__ = ["MAX_BODY_BYTES", "MAX_HEAD_BYTES", "LimitedConnection"]

MAX_BODY_BYTES = 4_194_304
"""Longest body of a response with a length, or chunk of one without."""

MAX_HEAD_BYTES = 32_768
"""Longest sequence of lines without a chunk: the head of a response, or its trailer."""

MAX_INTERIM_RESPONSES = 4
"""Interim responses that may precede a response."""

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9](?: [^\r\n]*)?\r?\n")
"""First line of a response; aiosonic takes any number for a status."""

INTERIM_STATUS_LINE = re.compile(rb"HTTP/1\.[01] 1")
"""Beginning of the first line of an interim response."""


class LimitedConnection(Connection):
    """Client connection of aiosonic, which itself limits neither the size of a response nor time.

    Lines and chunks that have already arrived are read without suspending the task, so the
    connection gives way to others when its time slice is used up.
    """

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._slice = TimeSlice()
        self._share = BufferShare(RESPONSE_BUDGET)
        self._head_bytes = 0

    def write(self, data: bytes) -> None:
        """Writes data of a request."""
        self._slice.restart()
        self._head_bytes = 0
        super().write(data)

    async def readuntil(self, separator: bytes = b"\r\n") -> bytes:
        """Reads the first line of a response, skipping interim responses."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            line = await self._read_line(separator)
            if not STATUS_LINE.fullmatch(line):
                raise HttpParsingError("the first line is none of an HTTP response")
            if not INTERIM_STATUS_LINE.match(line):
                return line
            while await self._read_line(b"\n") not in (b"\r\n", b"\n"):
                pass
        raise HttpParsingError("too many interim responses")

    async def readline(self) -> bytes:
        """Reads a line; an end of file before its end raises an EOFError."""
        return await self._read_line(b"\n")

    async def readexactly(self, size: int) -> bytes:
        """Reads exactly `size` bytes; a body or chunk that is too long raises ResponseTooLong."""
        if size > MAX_BODY_BYTES:
            raise ResponseTooLong(f"{size} bytes announced, {MAX_BODY_BYTES} are accepted")
        self._head_bytes = 0
        must_wait = await self._give_way()
        if not self._share.try_resize(size):
            raise ResponseTooLong("no memory is left for response bodies")
        try:
            data = await self.reader.readexactly(size)
        finally:
            self._share.release()
        if must_wait:
            self._slice.restart()
        return data

    async def _read_line(self, separator: bytes) -> bytes:
        """Reads a line of a head, of a trailer or before a chunk."""
        must_wait = await self._give_way()
        try:
            line = await self.reader.readuntil(separator)
        except asyncio.LimitOverrunError as exc:
            raise ResponseTooLong("a line is too long") from exc
        if must_wait:
            self._slice.restart()
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ResponseTooLong(f"a head is longer than {MAX_HEAD_BYTES} bytes")
        return line

    async def _give_way(self) -> bool:
        """Lets other tasks run if bytes have arrived; returns whether a read will wait."""
        if not self.reader._buffer:
            return True
        await self._slice.checkpoint()
        return False
