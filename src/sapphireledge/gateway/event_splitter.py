"""Incremental parser for server-sent events."""

from __future__ import annotations

import re

from sapphireledge.gateway.stream_event import StreamEvent

__all__ = ["EventSplitter"]

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_NUMBER = re.compile(rb"(?:^|[\r\n])id: ?(\d+) *(?=[\r\n])")


class EventSplitter:
    """Splits a `text/event-stream` body into events and buffers a partial event."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes to the buffer and returns the events that they complete.

        Args:
            data: Next bytes of the body.

        Returns:
            The completed events, with their bytes unchanged.
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
