"""Result of voiding a claim key."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["VoidResult"]


@dataclass(frozen=True, slots=True)
class VoidResult:
    """Whether all other entries reject a claim key that none of them has received."""

    all_voided: bool
    """Whether every entry voided the key and has been running since before the time of the key."""

    declined: tuple[str, ...] = ()
    """Entries that received the key, or may have received it before a restart."""

    unresponsive: tuple[str, ...] = ()
    """Entries that did not reply in time, or whose call failed."""
