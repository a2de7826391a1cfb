"""Incremental parser for the server-sent events of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.backends.event_too_long import EventTooLong
from sapphireledge.limits import RESPONSE_BUDGET, BufferShare

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import Self

__all__ = ["SseReader"]

MAX_EVENT_BYTES = 1_048_576
"""Longest event that is buffered; a longer one fails the stream, so that memory stays bounded."""


class SseReader:
    """Incremental parser that extracts the data of server-sent events from a byte stream.

    Each byte is searched a bounded number of times, however many pieces an event comes in. Use it
    as a context manager, which frees the buffer at the end.

    The SSE client of aiosonic can send POST bodies but is unsuitable: it splits the decoded text of
    an event at U+0085, U+2028 and U+2029, which may occur unescaped in JSON strings and thus in
    model output, it drops an event that equals the previous one, it does not support CRLF, and it
    hides the body of an error response.
    """

    __slots__ = ("_buffer", "_has_trailing_cr", "_share")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._share = BufferShare(RESPONSE_BUDGET)
        self._has_trailing_cr = False

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._share.release()
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Parses the next bytes of the stream.

        Call it again only after the iterator is exhausted.

        Args:
            data: Bytes as received; events may be split at any position.

        Yields:
            The data of the events that are now complete; events without data are skipped.

        Raises:
            EventTooLong: An incomplete event is already longer than MAX_EVENT_BYTES, or no memory
                is left for incomplete events.
        """
        if (
            not self._buffer
            and not self._has_trailing_cr
            and data.startswith(b"data: ")
            and data.endswith(b"\n\n")
            and data.find(b"\n") == len(data) - 2
            and b"\r" not in data
        ):
            # Fast path for one complete single-line event, as in nearly every packet of an engine.
            yield data[6:-2]
            return
        data = self._normalize_line_ends(data)
        buffer = self._buffer
        if not self._share.try_resize(len(buffer) + len(data)):
            raise EventTooLong
        searched = max(0, len(buffer) - 1)
        buffer += data
        start = 0
        while (end := buffer.find(b"\n\n", max(start, searched))) >= 0:
            payload = _parse_event_data(bytes(buffer[start:end]))
            start = end + 2
            if payload is not None:
                yield payload
        del buffer[:start]
        self._share.try_resize(len(buffer))
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLong

    def _normalize_line_ends(self, data: bytes) -> bytes:
        """Replaces CRLF and CR by LF; a trailing CR is kept, as it may be half of a CRLF."""
        if self._has_trailing_cr:
            data = b"\r" + data
        self._has_trailing_cr = data.endswith(b"\r")
        if b"\r" not in data:
            return data
        return data.removesuffix(b"\r").replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def _parse_event_data(event: bytes) -> bytes | None:
    """Joins the data lines of one event; returns None if it has none."""
    if event.startswith(b"data: ") and b"\n" not in event:
        return event[6:]
    lines = [
        line[5:].removeprefix(b" ") for line in event.split(b"\n") if line.startswith(b"data:")
    ]
    return b"\n".join(lines) if lines else None
