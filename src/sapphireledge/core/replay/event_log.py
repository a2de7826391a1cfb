"""Bounded in-memory log of the events recorded by one instance."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from sapphireledge.core.replay.decode_events import decode_events
from sapphireledge.core.replay.event_name import EventName
from sapphireledge.core.replay.event_segment import EventSegment
from sapphireledge.core.replay.request_event import RequestEvent

__all__ = ["EventLog"]

ENTRY_OVERHEAD = 200
"""Bytes that an entry uses besides its line: entry, deque slot and object headers."""


class _Entry(NamedTuple):
    request_id: str
    time: float
    line: bytes


class EventLog:
    """Bounded in-memory log of the events recorded by one instance.

    Events stay in memory for queries after they were taken for a segment, until their memory is
    needed. Events that are dropped before they were taken are counted. The count is itself
    reported as an event, which precedes the events after the gap.
    """

    def __init__(self, instance: str, max_bytes: int) -> None:
        """Creates an empty log.

        Args:
            instance: Name of the instance with its incarnation, which distinguishes recordings made
                before and after a restart.
            max_bytes: Memory limit.
        """
        self._instance = instance
        self._max_bytes = max_bytes
        self._entries: deque[_Entry] = deque()
        self._segmented_entries = 0
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
        """Name of the recording instance with its incarnation."""
        return self._instance

    @property
    def size(self) -> int:
        """Memory used in bytes, at most the limit."""
        return self._size

    @property
    def dropped(self) -> int:
        """Total number of events that were dropped before they were taken for a segment."""
        return self._dropped_total

    def start_recording(self) -> int:
        """Assigns the number of a new recording.

        Returns:
            The number; the first is 1.
        """
        self._recording_count += 1
        return self._recording_count

    def append(self, event: RequestEvent) -> bytes:
        """Appends an event and drops the oldest ones beyond the memory limit.

        Args:
            event: Event to append.

        Returns:
            The event as a JSON line.
        """
        entry = _Entry(event.request_id, event.time, event.to_line())
        self._entries.append(entry)
        self._size += len(entry.line) + ENTRY_OVERHEAD
        while self._size > self._max_bytes:
            self._drop_oldest()
        return entry.line

    def read(self, request_id: str) -> tuple[RequestEvent, ...]:
        """Reads the events of a request that are still in memory.

        Args:
            request_id: Request id.

        Returns:
            The events in order, preceded by the event that reports dropped events, if any.
        """
        lines = [entry.line for entry in self._entries if entry.request_id == request_id]
        return decode_events(self._gap_line() + b"".join(lines))

    def take_segment(self, max_bytes: int) -> EventSegment | None:
        """Takes the oldest events that are not part of a segment yet.

        Args:
            max_bytes: Size limit of the lines; a single event is taken even if it is larger.

        Returns:
            The segment, or None if there is nothing to write.
        """
        lines = [self._gap_line()] if self._dropped else []
        size = sum(map(len, lines))
        pending = len(self._entries) - self._segmented_entries
        # Indexing into the middle of a deque is O(n); after the rotation the first pending entry is
        # at the front.
        self._entries.rotate(-self._segmented_entries)
        count = 0
        while count < pending:
            line = self._entries[count].line
            if lines and size + len(line) > max_bytes:
                break
            lines.append(line)
            size += len(line)
            count += 1
        self._entries.rotate(self._segmented_entries)
        if not lines:
            return None
        self._segmented_entries += count
        self._dropped = self._dropped_bytes = 0
        self._segment_count += 1
        return EventSegment(self._segment_count, len(lines), b"".join(lines))

    def _drop_oldest(self) -> None:
        entry = self._entries.popleft()
        self._size -= len(entry.line) + ENTRY_OVERHEAD
        if self._segmented_entries:
            self._segmented_entries -= 1
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
