"""A route of the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.gateway.replay_rule import ReplayRule

__all__ = ["Route"]

MIN_EVENT_PATIENCE = 2.0
"""Seconds for which every caller waits for the next event."""

TARGET_PATIENCE = 4.0
"""Latency targets for which callers wait for the next event."""

PAUSE_PATIENCE = 8.0
"""Longest pauses on time for which callers wait for the next event."""


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are handled."""

    name: str
    """Name of the route."""

    host: str
    """Host name in the request."""

    path_prefix: str
    """Prefix of the path, with a slash at both ends."""

    replay: ReplayRule
    """Whether requests may be executed more than once."""

    time_limit: float
    """Longest time in seconds from the request to the end of its response."""

    target: float
    """Latency target in seconds."""

    rank: int
    """Priority, 0 is the highest."""

    services: tuple[tuple[str, float], ...]
    """Services that handle the requests, with their weights."""

    max_attempts: int
    """Largest number of backend servers that one attempt of a caller may be sent to."""

    anonymous: bool = False
    """Whether callers need no API key."""

    resumable: bool = False
    """Whether a broken stream may be resumed on another backend server."""

    pause_target: float = 0.0
    """Longest pause in seconds between two events of a stream that is on time, 0 if unknown."""

    @property
    def event_patience(self) -> float:
        """Seconds after which callers give up a stream that sends no event."""
        return max(
            MIN_EVENT_PATIENCE,
            TARGET_PATIENCE * self.target,
            PAUSE_PATIENCE * self.pause_target,
        )

    @property
    def repeatable(self) -> bool:
        """Whether a request may be retried even though it may have been executed."""
        if self.replay is ReplayRule.EVENT_STREAM:
            return self.resumable
        return self.replay is ReplayRule.IDEMPOTENT
