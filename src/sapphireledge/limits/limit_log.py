"""Decides when frequent events are logged."""

from __future__ import annotations

__all__ = ["LOG_INTERVAL", "LimitLog"]

LOG_INTERVAL = 5.0
"""Seconds between two lines for the same reason; a crowd causes thousands of events a second."""


class LimitLog:
    """Sums up events so that each reason is logged once in an interval."""

    def __init__(self) -> None:
        self._logged_at: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def count(self, now: float, reason: str) -> int:
        """Counts one event.

        Args:
            now: Time in seconds.
            reason: Reason of the event.

        Returns:
            Events since the last line for this reason if a line is due, otherwise 0.
        """
        self._counts[reason] = self._counts.get(reason, 0) + 1
        logged_at = self._logged_at.get(reason)
        if logged_at is not None and now - logged_at < LOG_INTERVAL:
            return 0
        self._logged_at[reason] = now
        return self._counts.pop(reason)
