"""Retry budget in proportion to first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.settings import AdmissionSettings

__all__ = ["RetryBudget"]


class RetryBudget:
    """Limits retries to a fraction of the first attempts, plus a small burst.

    Without it, retries multiply the load exactly when backend servers fail.
    """

    def __init__(self, cfg: AdmissionSettings):
        self._cfg = cfg
        self._balance = float(cfg.retry_burst)

    def on_first_attempt(self, now: float) -> None:
        """Credits the budget for a first attempt.

        Args:
            now: Current time in seconds.
        """
        limit = float(self._cfg.retry_burst)
        self._balance = min(limit, self._balance + self._cfg.retry_ratio)

    def try_spend(self, now: float) -> bool:
        """Spends one retry if the budget allows it.

        Args:
            now: Current time in seconds.

        Returns:
            Whether the retry is permitted.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
