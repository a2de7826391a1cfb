"""Estimate of how often an instance hears from each server of a service."""

from __future__ import annotations

__all__ = ["ContactEstimator"]

HALF_LIFE = 5.0
"""Seconds after which a response counts half. Demand that grows is noticed within this time."""

MIN_ELAPSED = 1.0
"""Seconds since the first response that are assumed at least."""


class ContactEstimator:
    """Estimates the time between two responses of one server from those of all servers."""

    __slots__ = ("_count", "_first_at", "_updated_at")

    def __init__(self) -> None:
        self._count = 0.0
        self._first_at: float | None = None
        self._updated_at = 0.0

    def on_response(self, now: float) -> None:
        """Counts a response.

        Args:
            now: Current time in seconds.
        """
        if self._first_at is None:
            self._first_at = self._updated_at = now
        self._count = self._count * _decay(now - self._updated_at) + 1.0
        self._updated_at = now

    def estimate_interval(self, now: float, servers: int) -> float:
        """Estimates the mean time between two responses of one server.

        Args:
            now: Current time in seconds.
            servers: Number of servers whose responses were counted.

        Returns:
            Time in seconds; 0 without responses.
        """
        if self._first_at is None:
            return 0.0
        count = self._count * _decay(now - self._updated_at)
        elapsed = max(MIN_ELAPSED, now - self._first_at)
        # Integral of the weights over the time for which responses have been counted.
        weight = (1.0 - _decay(elapsed)) * HALF_LIFE / _LN2
        return servers * weight / max(count, 1.0)


_LN2 = 0.6931471805599453


def _decay(elapsed: float) -> float:
    """Computes the remaining weight of a response."""
    return 2.0 ** (-max(0.0, elapsed) / HALF_LIFE)
