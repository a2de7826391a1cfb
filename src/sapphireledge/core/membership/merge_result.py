"""What one heartbeat changed."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sapphireledge.core.membership.clearing_notice import ClearingNotice
from sapphireledge.core.membership.death_notice import DeathNotice

__all__ = ["MergeResult"]


@dataclass(frozen=True, slots=True)
class MergeResult:
    """What one heartbeat changed at the receiver."""

    accepted: bool
    """False if the heartbeat is older than another one, or its incarnation has been replaced."""

    restarted: bool = False
    """Whether the heartbeat is the first of a new incarnation."""

    usage: Mapping[str, float] = field(default_factory=dict)
    """Usage that is newer than what was known."""

    deaths: tuple[DeathNotice, ...] = ()
    """Deaths that were not known."""

    cleared: tuple[ClearingNotice, ...] = ()
    """Clearings that were not known."""

    leaving: tuple[str, ...] = ()
    """Leaving backend servers that the sender had not named before."""
