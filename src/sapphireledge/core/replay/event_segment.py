"""Events that are written to the platform together."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EventSegment"]


@dataclass(frozen=True, slots=True)
class EventSegment:
    """Events that are written to the platform together."""

    number: int
    """Number of the segment, from 1 without gaps; a missing number is a lost segment."""

    events: int
    """Number of events, the event of a gap included."""

    lines: bytes
    """JSON lines, uncompressed."""
