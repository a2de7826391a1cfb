"""Rate of loads from the weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.settings import FleetSettings

__all__ = ["LoadRateLimiter"]

SECONDS_PER_MINUTE = 60.0
"""Unit of the declared rate."""


class LoadRateLimiter:
    """Token bucket of one load; it starts empty, since an earlier holder may have spent it."""

    def __init__(self, now: float, cfg: FleetSettings):
        self._interval = SECONDS_PER_MINUTE / cfg.loads_per_minute
        self._next_allowed = now + self._interval

    def try_acquire(self, now: float) -> bool:
        """Takes one load from the budget.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Whether the load may start.
        """
        if now < self._next_allowed:
            return False
        self._next_allowed = now + self._interval
        return True
