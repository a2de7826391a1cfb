"""Missing part of a recording."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ReplayGap"]


@dataclass(frozen=True, slots=True)
class ReplayGap:
    """Missing part of a recording.

    The later events of the recording cannot be replayed.
    """

    instance: str
    """Instance whose events are missing."""

    recording: int
    """Number of the recording at the instance."""

    after: int
    """Sequence number of the last event before the gap; 0 if the first event is missing."""

    before: int
    """Sequence number of the first event after the gap."""
