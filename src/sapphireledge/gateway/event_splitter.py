"""Incremental parser for server-sent events."""

from __future__ import annotations

import re

from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.stream_event import StreamEvent

__all__ = ["EventSplitter"]

MAX_EVENT_BYTES = 262_144
"""Largest event in bytes; an event holds a few tokens."""

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_NUMBER = re.compile(rb"(?:^|[\r\n])id: ?(\d{1,18}) *(?=[\r\n])")
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id:")


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

        Raises:
            BackendResponseError: An event is too large, or its id is not a number.
        """
        self._buffer += data
        events = []
        start = 0
        for boundary in _BOUNDARY.finditer(self._buffer):
            raw = self._buffer[start : boundary.end()]
            start = boundary.end()
            number = _NUMBER.search(raw)
            if number is None and _ID_FIELD.search(raw):
                raise BackendResponseError("the id of an event is not a number")
            is_comment = number is None and not _FIELD.search(raw)
            events.append(StreamEvent(raw, int(number.group(1)) if number else None, is_comment))
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise BackendResponseError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return events
