"""Incremental parser for server-sent events."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.stream_event import StreamEvent
from sapphireledge.limits import RESPONSE_BUDGET, BufferShare

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import Self

__all__ = ["EventSplitter"]

MAX_EVENT_BYTES = 262_144
"""Largest event in bytes, and largest sequence of comments; an event holds a few tokens."""

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_BOUNDARY_BYTES = 4
"""Length of the longest boundary."""

_NUMBER = re.compile(rb"(?:^|[\r\n])id: ?(\d{1,18}) *(?=[\r\n])")
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id:")


class EventSplitter:
    """Splits a `text/event-stream` body into events and buffers a partial event.

    Each byte is searched a bounded number of times, however many pieces an event comes in. Use it
    as a context manager, which frees the buffer at the end.
    """

    __slots__ = ("_buffer", "_comment_bytes", "_searched", "_share")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._share = BufferShare(RESPONSE_BUDGET)
        self._searched = 0
        self._comment_bytes = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._share.release()
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Adds bytes to the buffer and iterates over the events that they complete.

        Call it again only after the iterator is exhausted.

        Args:
            data: Next bytes of the body.

        Yields:
            The completed events, with their bytes unchanged.

        Raises:
            BackendResponseError: An event is too large, its id is not a number, comments do not
                end, or no memory is left for incomplete events.
        """
        buffer = self._buffer
        if not self._share.try_resize(len(buffer) + len(data)):
            raise BackendResponseError("no memory is left for incomplete events")
        buffer += data
        start = 0
        while boundary := _BOUNDARY.search(buffer, max(start, self._searched)):
            raw = bytes(buffer[start : boundary.end()])
            start = self._searched = boundary.end()
            yield self._decode(raw)
        del buffer[:start]
        self._share.try_resize(len(buffer))
        self._searched = max(0, len(buffer) - _BOUNDARY_BYTES + 1)
        if len(buffer) > MAX_EVENT_BYTES:
            raise BackendResponseError(f"an event is larger than {MAX_EVENT_BYTES} bytes")

    def _decode(self, raw: bytes) -> StreamEvent:
        """Decodes one event."""
        number = _NUMBER.search(raw)
        if number is None and _ID_FIELD.search(raw):
            raise BackendResponseError("the id of an event is not a number")
        is_comment = number is None and not _FIELD.search(raw)
        self._comment_bytes = self._comment_bytes + len(raw) if is_comment else 0
        if self._comment_bytes > MAX_EVENT_BYTES:
            raise BackendResponseError(f"more than {MAX_EVENT_BYTES} bytes of comments follow")
        return StreamEvent(raw, int(number.group(1)) if number else None, is_comment)
