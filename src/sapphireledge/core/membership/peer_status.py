"""What is known about one peer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PeerStatus"]


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a peer said last about itself."""

    instance: str
    """Name of the peer."""

    incarnation: str
    """Incarnation of its process."""

    sequence: int = 0
    """Number of the newest heartbeat."""

    state: str = "starting"
    """State, a value of EntryState."""

    config_version: int = 0
    """Version of the configuration in force at the peer."""

    highest_version: int = 0
    """Highest version that the peer has heard of."""

    running: int = 0
    """Requests running."""

    queued: int = 0
    """Requests queued."""

    platform_reachable: bool = True
    """Whether the peer reaches the platform."""
