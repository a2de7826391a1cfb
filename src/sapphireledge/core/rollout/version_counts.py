"""Answers of one version on one route at one instance."""

from __future__ import annotations

import msgspec

__all__ = ["VersionCounts"]


class VersionCounts(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answers of one version on one route at one instance, cumulative since the order."""

    sent: int = 0
    """Attempts sent, including retries."""

    answered: int = 0
    """Complete answers."""

    failed: int = 0
    """Failures."""

    times: dict[int, int] = {}
    """Complete answers by class of time, see `TimeClasses`."""

    def plus(self, other: VersionCounts) -> VersionCounts:
        """Adds other counts.

        Args:
            other: Counts of the same version and route, of another instance or of other attempts.

        Returns:
            The sums.
        """
        times = dict(self.times)
        for time_class, number in other.times.items():
            times[time_class] = times.get(time_class, 0) + number
        return VersionCounts(
            self.sent + other.sent,
            self.answered + other.answered,
            self.failed + other.failed,
            times,
        )
