"""Answers of one version on one route at one instance."""

from __future__ import annotations

import msgspec

__all__ = ["VersionCounts"]


class VersionCounts(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one version on one route at one instance, cumulative since the order."""

    sent: int = 0
    """Attempts sent, including retries."""

    answered: int = 0
    """Complete answers, including slow ones."""

    failed: int = 0
    """Failures."""

    slow: int = 0
    """Complete answers that took several times as long as those of the old version usually do."""

    seconds_sum: float = 0.0
    """Sum of the compared times of the complete answers that have one, in seconds."""

    timed: int = 0
    """Complete answers with a compared time."""

    @property
    def ended(self) -> int:
        """Attempts that say something about the version."""
        return self.answered + self.failed

    @property
    def bad(self) -> int:
        """Failures and slow answers."""
        return self.failed + self.slow
