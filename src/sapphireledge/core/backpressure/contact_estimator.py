"""Estimate of how often an instance hears from each server of a service."""

from __future__ import annotations

import math

__all__ = ["ContactEstimator"]

HALF_LIFE = 5.0
"""Seconds after which a contact counts half. Demand that grows is noticed within this time."""

SEPARATE_TIME = 5.0
"""Seconds after a counted response of a server in which further ones belong to the same contact: a
request that waits fetches the reports of the same servers again and again."""

MIN_ELAPSED = 1.0
"""Seconds since the first response that are assumed at least."""


class ContactEstimator:
    """Estimates the time between two contacts with one server from those with all servers."""

    __slots__ = ("_contacts", "_count", "_first_at", "_updated_at")

    def __init__(self) -> None:
        self._contacts: dict[str, float] = {}
        self._count = 0.0
        self._first_at: float | None = None
        self._updated_at = 0.0

    def on_response(self, now: float, server_id: str) -> None:
        """Counts a response unless it belongs to a contact that has been counted.

        Args:
            now: Current time in seconds.
            server_id: Id of the server.
        """
        if now - self._contacts.get(server_id, -math.inf) < SEPARATE_TIME:
            return
        self._contacts[server_id] = now
        if self._first_at is None:
            self._first_at = self._updated_at = now
        self._count = self._count * _decay(now - self._updated_at) + 1.0
        self._updated_at = now

    def forget(self, server_id: str) -> None:
        """Drops the latest contact with a server that is gone.

        Args:
            server_id: Id of the server.
        """
        self._contacts.pop(server_id, None)

    def estimate_interval(self, now: float, servers: int) -> float:
        """Estimates the mean time between two contacts with one server.

        Args:
            now: Current time in seconds.
            servers: Number of servers whose responses are counted.

        Returns:
            Time in seconds; 0 without responses.
        """
        if self._first_at is None:
            return 0.0
        count = self._count * _decay(now - self._updated_at)
        elapsed = max(MIN_ELAPSED, now - self._first_at)
        # Integral of the weights over the time for which contacts have been counted.
        weight = (1.0 - _decay(elapsed)) * HALF_LIFE / math.log(2.0)
        return servers * weight / max(count, 1.0)


def _decay(elapsed: float) -> float:
    """Computes the remaining weight of a contact."""
    return 2.0 ** (-max(0.0, elapsed) / HALF_LIFE)
