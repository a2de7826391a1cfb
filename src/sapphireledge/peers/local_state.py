"""What an entry tells its peers about itself."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["LocalState"]


@dataclass(frozen=True, slots=True)
class LocalState:
    """What an entry tells its peers about itself."""

    state: str = "ready"
    """State of the instance, a value of EntryState."""

    config_version: int = 0
    """Version of the configuration in force."""

    highest_version: int = 0
    """Highest version that the entry knows of by other ways than heartbeats."""

    usage: Mapping[str, float] = field(default_factory=dict)
    """Decayed tokens of each workspace, from this entry's work only."""

    leaving: tuple[str, ...] = ()
    """Backend servers that told this entry that they are leaving and are not gone yet."""

    running: int = 0
    """Requests running."""

    queued: int = 0
    """Requests queued."""

    platform_reachable: bool = True
    """Whether calls to the platform succeed."""
