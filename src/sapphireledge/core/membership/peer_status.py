"""Status of a peer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PeerStatus"]


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Status of a peer according to its latest heartbeat."""

    instance: str
    """Name of the peer."""

    incarnation: str
    """Incarnation of the peer's process."""

    sequence: int = 0
    """Sequence number of the latest heartbeat."""

    state: str = "starting"
    """State of the peer, a value of `EntryState`."""

    config_version: int = 0
    """Version of the configuration in force at the peer."""

    highest_version: int = 0
    """Highest configuration version seen by the peer, in force or not."""

    running: int = 0
    """Requests running at the peer."""

    queued: int = 0
    """Requests queued at the peer."""

    platform_reachable: bool = True
    """Whether the peer can reach the platform."""
