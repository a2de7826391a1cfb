"""A route of the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.gateway.replay_rule import ReplayRule

__all__ = ["Route"]


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path, and how they are served."""

    name: str
    """Name of the route."""

    host: str
    """Host that callers name."""

    path_prefix: str
    """Beginning of the path, with a slash at both ends."""

    replay: ReplayRule
    """What may be repeated."""

    time_limit: float
    """Longest time in seconds that a caller is kept waiting."""

    target: float
    """Time in seconds within which an answer earns its full worth."""

    rank: int
    """Urgency, 0 is the most urgent."""

    services: tuple[tuple[str, float], ...]
    """Services and the share of the requests that each receives, as weights."""

    max_attempts: int
    """Largest number of backend servers that one caller attempt may be sent to."""

    anonymous: bool = False
    """Whether callers need no key."""

    resumable: bool = False
    """Whether a broken stream may continue at another backend server."""

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have been executed can be sent again."""
        if self.replay is ReplayRule.EVENT_STREAM:
            return self.resumable
        return self.replay is ReplayRule.IDEMPOTENT
