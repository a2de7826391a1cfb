"""This instance's part of the retries that all instances share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.gateway_settings import GatewaySettings

__all__ = ["RetryAllowance"]

MIN_BURST = 1.0
"""Repeated sends in a window that every instance may make, so that a small one can retry at all."""


class RetryAllowance:
    """Bounds repeated sends for one service without traffic between the instances.

    Each request of this instance earns a part of the shared ratio. Beside it, the instances divide
    a part of the shared slack evenly; see docs/deployment.md.
    """

    def __init__(self, cfg: GatewaySettings, count_instances: Callable[[], int]) -> None:
        """Creates a full allowance.

        Args:
            cfg: Settings.
            count_instances: Number of instances that share the budget, at least 1.
        """
        self._cfg = cfg
        self._count_instances = count_instances
        self._burst = self._burst_limit()
        self._earned = 0.0
        self._refilled = 0.0

    def on_request(self) -> None:
        """Counts a first send."""
        self._earned = min(self._cfg.retry_earned_cap, self._earned + self._cfg.retry_ratio)

    def try_spend(self, now: float) -> bool:
        """Asks for one repeated send.

        Args:
            now: Time in seconds.

        Returns:
            Whether it is permitted; if so, it is spent.
        """
        limit = self._burst_limit()
        refill = (now - self._refilled) * limit / self._cfg.retry_window
        self._burst = min(limit, self._burst + refill)
        self._refilled = now
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        if self._burst >= 1.0:
            self._burst -= 1.0
            return True
        return False

    def _burst_limit(self) -> float:
        """This instance's part of the shared slack."""
        part = self._cfg.retry_slack / max(1, self._count_instances())
        return max(MIN_BURST, min(self._cfg.retry_burst_cap, part))
