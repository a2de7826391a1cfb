"""This instance's share of the retry budget of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.gateway_settings import GatewaySettings

__all__ = ["RetryAllowance"]

MIN_BURST = 1.0
"""Retries per window that every instance may make, so that one with little traffic can retry."""


class RetryAllowance:
    """Limits retries for one service without coordination between the instances.

    Each request of this instance earns a fraction of a retry. In addition, the instances divide
    part of the shared slack evenly; see docs/deployment.md.
    """

    def __init__(self, cfg: GatewaySettings, count_instances: Callable[[], int]) -> None:
        """Creates an allowance with a full burst.

        Args:
            cfg: Settings of the instance.
            count_instances: Returns the number of instances that share the budget.
        """
        self._cfg = cfg
        self._count_instances = count_instances
        self._burst = self._burst_limit()
        self._earned = 0.0
        self._refilled_at = 0.0

    def on_request(self) -> None:
        """Credits the allowance for the first attempt of a request."""
        self._earned = min(self._cfg.retry_earned_cap, self._earned + self._cfg.retry_ratio)

    def has_retry(self, now: float) -> bool:
        """Whether the allowance permits a retry.

        Args:
            now: Event loop time in seconds.

        Returns:
            Whether `try_spend` would permit one now.
        """
        limit = self._burst_limit()
        refill = (now - self._refilled_at) * limit / self._cfg.retry_window
        self._burst = min(limit, self._burst + refill)
        self._refilled_at = now
        return self._earned >= 1.0 or self._burst >= 1.0

    def next_retry_at(self, now: float) -> float:
        """Computes when the allowance permits a retry at the latest; requests earn one sooner.

        Args:
            now: Event loop time in seconds.

        Returns:
            Event loop time in seconds, now if it permits one.
        """
        if self.has_retry(now):
            return now
        return now + (1.0 - self._burst) * self._cfg.retry_window / self._burst_limit()

    def try_spend(self, now: float) -> bool:
        """Spends one retry if the allowance permits it.

        Args:
            now: Event loop time in seconds.

        Returns:
            Whether the retry is permitted.
        """
        if not self.has_retry(now):
            return False
        if self._earned >= 1.0:
            self._earned -= 1.0
        else:
            self._burst -= 1.0
        return True

    def _burst_limit(self) -> float:
        """Computes this instance's share of the slack."""
        share = self._cfg.retry_slack / max(1, self._count_instances())
        return max(MIN_BURST, min(self._cfg.retry_burst_cap, share))
