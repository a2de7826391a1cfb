"""Recorded events of one instance in bounded memory."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from sapphireledge.core.replay.decode_events import decode_events
from sapphireledge.core.replay.event_name import EventName
from sapphireledge.core.replay.event_segment import EventSegment
from sapphireledge.core.replay.request_event import RequestEvent

__all__ = ["EventLog"]

ENTRY_OVERHEAD = 200
"""Bytes that an entry takes in memory beside its line: entry, deque slot and object headers."""


class _Entry(NamedTuple):
    request_id: str
    time: float
    line: bytes


class EventLog:
    """Recorded events of one instance in bounded memory.

    Events are kept after they were taken for a segment, to answer queries, until their memory is
    needed. An event that is dropped before it was taken is counted; the count is an event itself
    and precedes the events after the gap.
    """

    def __init__(self, instance: str, max_bytes: int) -> None:
        """Builds an empty log.

        Args:
            instance: Name of the instance with its incarnation, so that the recordings of a
                restarted instance are told from those before.
            max_bytes: Memory bound.
        """
        self._instance = instance
        self._max_bytes = max_bytes
        self._entries: deque[_Entry] = deque()
        self._segmented = 0
        self._size = 0
        self._segment_count = 0
        self._recording_count = 0
        self._dropped = 0
        self._dropped_bytes = 0
        self._dropped_from = 0.0
        self._dropped_until = 0.0
        self._dropped_total = 0

    @property
    def instance(self) -> str:
        """Name of the instance that records."""
        return self._instance

    @property
    def size(self) -> int:
        """Bytes in use, at most the bound."""
        return self._size

    @property
    def dropped(self) -> int:
        """Events that were dropped before they were taken for a segment, since the start."""
        return self._dropped_total

    def start_recording(self) -> int:
        """Numbers a new recording.

        Returns:
            The number, from 1.
        """
        self._recording_count += 1
        return self._recording_count

    def append(self, event: RequestEvent) -> bytes:
        """Adds an event and drops the oldest ones beyond the bound.

        Args:
            event: The event.

        Returns:
            Its JSON line.
        """
        entry = _Entry(event.request_id, event.time, event.to_line())
        self._entries.append(entry)
        self._size += len(entry.line) + ENTRY_OVERHEAD
        while self._size > self._max_bytes:
            self._drop_oldest()
        return entry.line

    def read(self, request_id: str) -> tuple[RequestEvent, ...]:
        """Reads what memory holds about a request.

        Args:
            request_id: Id of the request.

        Returns:
            The events in their order, preceded by the event of a gap if there is one.
        """
        lines = [entry.line for entry in self._entries if entry.request_id == request_id]
        return decode_events(self._gap_line() + b"".join(lines))

    def take_segment(self, max_bytes: int) -> EventSegment | None:
        """Takes the oldest events that no segment has yet.

        Args:
            max_bytes: Largest number of bytes of the lines; one event is taken even if larger.

        Returns:
            The segment, or None if there is nothing to write.
        """
        lines = [self._gap_line()] if self._dropped else []
        size = sum(map(len, lines))
        pending = len(self._entries) - self._segmented
        # Rotating gives the position of the first pending entry without a walk over the old ones.
        self._entries.rotate(-self._segmented)
        count = 0
        while count < pending:
            line = self._entries[count].line
            if lines and size + len(line) > max_bytes:
                break
            lines.append(line)
            size += len(line)
            count += 1
        self._entries.rotate(self._segmented)
        if not lines:
            return None
        self._segmented += count
        self._dropped = self._dropped_bytes = 0
        self._segment_count += 1
        return EventSegment(self._segment_count, len(lines), b"".join(lines))

    def _drop_oldest(self) -> None:
        entry = self._entries.popleft()
        self._size -= len(entry.line) + ENTRY_OVERHEAD
        if self._segmented:
            self._segmented -= 1
            return
        if not self._dropped:
            self._dropped_from = entry.time
        self._dropped += 1
        self._dropped_total += 1
        self._dropped_bytes += len(entry.line)
        self._dropped_until = entry.time

    def _gap_line(self) -> bytes:
        if not self._dropped:
            return b""
        gap = {
            "events": self._dropped,
            "bytes": self._dropped_bytes,
            "from": self._dropped_from,
            "until": self._dropped_until,
        }
        return RequestEvent(
            sequence=self._dropped_total,
            time=self._dropped_until,
            instance=self._instance,
            recording=0,
            request_id="",
            name=EventName.DROPPED,
            input=gap,
        ).to_line()
