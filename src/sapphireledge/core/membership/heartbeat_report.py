"""Content of one heartbeat."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sapphireledge.core.membership.clearing_notice import ClearingNotice
from sapphireledge.core.membership.death_notice import DeathNotice

__all__ = ["HeartbeatReport"]


@dataclass(frozen=True, slots=True)
class HeartbeatReport:
    """Content of one heartbeat; every part is state, so a repetition changes nothing."""

    instance: str
    """Name of the sender."""

    incarnation: str
    """Incarnation of the sender's process; later ones sort after earlier ones (UUID version 7)."""

    sequence: int
    """Number of the heartbeat, increasing in one incarnation."""

    state: str = "ready"
    """State of the sender, a value of EntryState."""

    config_version: int = 0
    """Version of the configuration in force at the sender."""

    highest_version: int = 0
    """Highest version that the sender has heard of."""

    usage: Mapping[str, float] = field(default_factory=dict)
    """Decayed tokens of each workspace whose usage changed."""

    scope: str = ""
    """Data centre whose sum the usage is; empty if it is the sender's own."""

    deaths: tuple[DeathNotice, ...] = ()
    """Engine deaths that the receiver may not know yet."""

    cleared: tuple[ClearingNotice, ...] = ()
    """Clearings that the receiver may not know yet."""

    leaving: tuple[str, ...] = ()
    """Backend servers that told the sender that they are leaving."""

    running: int = 0
    """Requests running at the sender."""

    queued: int = 0
    """Requests queued at the sender."""

    platform_reachable: bool = True
    """Whether the sender reaches the platform."""
