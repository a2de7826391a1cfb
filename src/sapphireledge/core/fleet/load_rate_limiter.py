"""Rate limit for loads from the weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.settings import FleetSettings

__all__ = ["LoadRateLimiter"]

SECONDS_PER_MINUTE = 60.0
"""Converts the configured rate, which is per minute."""


class LoadRateLimiter:
    """Token bucket with a capacity of one load.

    It starts empty, since the previous lease holder may just have started a load.
    """

    def __init__(self, now: float, cfg: FleetSettings):
        self._interval = SECONDS_PER_MINUTE / cfg.loads_per_minute
        self._next_allowed = now + self._interval

    def try_acquire(self, now: float) -> bool:
        """Acquires permission for one load.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Whether the load may start.
        """
        if now < self._next_allowed:
            return False
        self._next_allowed = now + self._interval
        return True
