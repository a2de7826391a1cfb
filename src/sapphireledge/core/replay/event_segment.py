"""Batch of events that is written to the platform as one object."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EventSegment"]


@dataclass(frozen=True, slots=True)
class EventSegment:
    """Batch of events that is written to the platform as one object."""

    number: int
    """Sequence number of the segment, from 1 without gaps; a missing number is a lost segment."""

    events: int
    """Number of events, including an event that reports dropped ones."""

    lines: bytes
    """Events as uncompressed JSON lines."""
