"""Check of the requests that arrive at a server which names a rate."""

from __future__ import annotations

__all__ = ["RateCheck"]

FREE_REQUESTS = 5.0
"""Requests above the rate that are in order at any moment, as instances do not coordinate."""


class RateCheck:
    """Counts requests beyond a named rate, as a token bucket of `FREE_REQUESTS`."""

    def __init__(self) -> None:
        self.over = 0
        """Requests above the rate."""

        self._tokens = FREE_REQUESTS
        self._checked_at = 0.0

    def count(self, now: float, rate: float | None) -> None:
        """Counts a request that arrives.

        Args:
            now: Current time in seconds.
            rate: Requests per second that the server names, None for any number.
        """
        elapsed, self._checked_at = now - self._checked_at, now
        if rate is None:
            self._tokens = FREE_REQUESTS
            return
        self._tokens = min(FREE_REQUESTS, self._tokens + elapsed * rate)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
        else:
            self.over += 1
