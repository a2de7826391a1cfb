"""State that an entry reports to its peers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["LocalState"]


@dataclass(frozen=True, slots=True)
class LocalState:
    """State that an entry reports to its peers."""

    state: str = "ready"
    """Lifecycle state of the instance, a value of EntryState."""

    config_version: int = 0
    """Version of the configuration in force."""

    highest_version: int = 0
    """Highest configuration version learned from sources other than heartbeats."""

    usage: Mapping[str, float] = field(default_factory=dict)
    """Decayed tokens of each workspace, counting only requests that this entry served."""

    leaving: tuple[str, ...] = ()
    """Backend servers that announced to this entry that they are leaving and are still present."""

    running: int = 0
    """Number of running requests."""

    queued: int = 0
    """Number of queued requests."""

    platform_reachable: bool = True
    """Whether calls to the platform currently succeed."""
