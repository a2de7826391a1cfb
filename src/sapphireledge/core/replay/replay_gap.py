"""Part of a record that is missing."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ReplayGap"]


@dataclass(frozen=True, slots=True)
class ReplayGap:
    """Part of a record that is missing.

    The events after a gap cannot be run again until the next machine is created.
    """

    instance: str
    """Instance whose events are missing."""

    after: int
    """Sequence number of the last event before the gap; 0 if the start is missing."""

    before: int
    """Sequence number of the first event after the gap."""
