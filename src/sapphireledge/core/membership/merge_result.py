"""Result of merging one heartbeat."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sapphireledge.core.membership.clearing_notice import ClearingNotice
from sapphireledge.core.membership.death_notice import DeathNotice

__all__ = ["MergeResult"]


@dataclass(frozen=True, slots=True)
class MergeResult:
    """Changes to the receiver's state caused by one heartbeat."""

    accepted: bool
    """False if the same or a newer heartbeat was merged before, or a later incarnation is live."""

    restarted: bool = False
    """Whether the heartbeat is the first of an incarnation that replaced another."""

    usage: Mapping[str, float] = field(default_factory=dict)
    """Decayed tokens of each workspace whose usage changed."""

    deaths: tuple[DeathNotice, ...] = ()
    """Deaths that no peer had reported before."""

    cleared: tuple[ClearingNotice, ...] = ()
    """Clearings that no peer had reported before."""

    leaving: tuple[str, ...] = ()
    """Leaving backend servers that were not in the sender's previous heartbeat."""
