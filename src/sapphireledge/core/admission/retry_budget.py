"""Budget of retries as a share of first tries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.settings import AdmissionSettings

__all__ = ["RetryBudget"]


class RetryBudget:
    """Limits retries to a share of the first tries, plus a small burst.

    Without it, retries multiply the load exactly when backend servers fail.
    """

    def __init__(self, cfg: AdmissionSettings):
        self._cfg = cfg
        self._balance = float(cfg.retry_burst)

    def on_first_attempt(self, now: float) -> None:
        """Counts a first try.

        Args:
            now: Time in seconds.
        """
        limit = float(self._cfg.retry_burst)
        self._balance = min(limit, self._balance + self._cfg.retry_ratio)

    def try_spend(self, now: float) -> bool:
        """Asks for one retry.

        Args:
            now: Time in seconds.

        Returns:
            Whether the retry is permitted; if so, it is spent.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
