"""Content of one heartbeat."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sapphireledge.core.membership.clearing_notice import ClearingNotice
from sapphireledge.core.membership.death_notice import DeathNotice

__all__ = ["HeartbeatReport"]


@dataclass(frozen=True, slots=True)
class HeartbeatReport:
    """Content of one heartbeat; every field is state, so merging it again has no effect."""

    instance: str
    """Name of the sender."""

    incarnation: str
    """Incarnation of the sender's process; later ones sort after earlier ones (UUID version 7)."""

    sequence: int
    """Sequence number of the heartbeat, increasing within an incarnation."""

    state: str = "ready"
    """State of the sender, a value of `EntryState`."""

    config_version: int = 0
    """Version of the configuration in force at the sender."""

    highest_version: int = 0
    """Highest configuration version seen by the sender, in force or not."""

    usage: Mapping[str, float] = field(default_factory=dict)
    """Decayed tokens of each workspace whose usage changed."""

    scope: str = ""
    """Data centre over which `usage` is summed; empty for the sender's own usage."""

    deaths: tuple[DeathNotice, ...] = ()
    """Engine deaths that the receiver may not have received yet."""

    cleared: tuple[ClearingNotice, ...] = ()
    """Clearings that the receiver may not have received yet."""

    leaving: tuple[str, ...] = ()
    """Backend servers that announced to the sender that they are leaving."""

    running: int = 0
    """Requests running at the sender."""

    queued: int = 0
    """Requests queued at the sender."""

    platform_reachable: bool = True
    """Whether the sender can reach the platform."""
