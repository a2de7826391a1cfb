"""Part of a record that is missing."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ReplayGap"]


@dataclass(frozen=True, slots=True)
class ReplayGap:
    """Part of a record that is missing.

    The events of the same recording after a gap cannot be run again.
    """

    instance: str
    """Instance whose events are missing."""

    recording: int
    """Number of the recording at the instance."""

    after: int
    """Sequence number of the last event before the gap; 0 if the start is missing."""

    before: int
    """Sequence number of the first event after the gap."""
