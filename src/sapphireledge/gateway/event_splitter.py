"""Whole events out of the bytes of a stream."""

from __future__ import annotations

import re

from sapphireledge.gateway.stream_event import StreamEvent

__all__ = ["EventSplitter"]

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_NUMBER = re.compile(rb"(?:^|[\r\n])id: ?(\d+) *(?=[\r\n])")


class EventSplitter:
    """Splits the bytes of a `text/event-stream` body; bytes of a partial event stay inside."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an unfinished event are held."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes.

        Args:
            data: Next bytes of the body.

        Returns:
            The events that became complete, bytes unchanged.
        """
        self._buffer += data
        events = []
        start = 0
        for boundary in _BOUNDARY.finditer(self._buffer):
            raw = self._buffer[start : boundary.end()]
            start = boundary.end()
            number = _NUMBER.search(raw)
            events.append(StreamEvent(raw, int(number.group(1)) if number else None))
        self._buffer = self._buffer[start:]
        return events
