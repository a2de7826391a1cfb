"""This instance's part of the retries that all instances share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.gateway_settings import GatewaySettings

__all__ = ["RetryAllowance"]


class RetryAllowance:
    """Bounds repeated sends for one service without traffic between the instances.

    Each request of this instance earns a part of the shared ratio, and a fixed burst refills over
    the window. Both parts are small enough that their sum over all instances stays below what the
    platform permits; see docs/deployment.md.
    """

    def __init__(self, cfg: GatewaySettings) -> None:
        self._cfg = cfg
        self._burst = cfg.retry_burst
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
        rate = self._cfg.retry_burst / self._cfg.retry_window
        self._burst = min(self._cfg.retry_burst, self._burst + (now - self._refilled) * rate)
        self._refilled = now
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        if self._burst >= 1.0:
            self._burst -= 1.0
            return True
        return False
