"""Whether all entries refuse a claim key."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["VoidResult"]


@dataclass(frozen=True, slots=True)
class VoidResult:
    """Whether all other entries refuse a claim key that none of them has received."""

    all_voided: bool
    """Whether every entry promised and has run since before the time of the key."""

    declined: tuple[str, ...] = ()
    """Entries that received the key, or started after its time and cannot know."""

    unresponsive: tuple[str, ...] = ()
    """Entries that did not answer in time."""
