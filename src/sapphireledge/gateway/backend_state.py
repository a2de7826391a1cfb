"""State of a backend server as observed by this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.backpressure import ServerBackpressure
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["BackendState"]

SUSPEND_BASE = 0.5
"""Seconds for which a server is suspended after its first failure to respond."""

SUSPEND_CAP = 2.0
"""Longest suspension in seconds; engines restart within one to several seconds."""

FAILURE_EWMA_WEIGHT = 0.25
"""Weight of one outcome in the moving average of the failure rate."""


class BackendState:
    """Requests in flight and recent outcomes of one backend server."""

    __slots__ = (
        "_consecutive_failures",
        "added_unix",
        "backpressure",
        "failure_rate",
        "in_flight",
        "server",
        "suspended_until",
    )

    def __init__(
        self, server: BackendServer, backpressure: ServerBackpressure, added_unix: float = 0.0
    ) -> None:
        self.server = server
        """Latest description of the server."""

        self.in_flight = 0
        """Requests in flight from this instance."""

        self.failure_rate = 0.0
        """Exponentially weighted share of failed requests, 0 to 1."""

        self.suspended_until = 0.0
        """Event loop time in seconds until which other servers are preferred."""

        self.backpressure = backpressure
        """Decides when requests may be sent to the server."""

        self.added_unix = added_unix
        """Time in Unix seconds at which the entry of the server was added, or came back."""

        self._consecutive_failures = 0

    def on_success(self) -> None:
        """Records a complete response and ends a suspension."""
        self._consecutive_failures = 0
        self.suspended_until = 0.0
        self.failure_rate -= FAILURE_EWMA_WEIGHT * self.failure_rate

    def on_failure(self, now: float, *, suspend: bool) -> None:
        """Records a failed request.

        Args:
            now: Event loop time in seconds.
            suspend: Whether to suspend the server with exponential backoff, because it sent no
                usable response.
        """
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - self.failure_rate)
        if suspend:
            pause = min(SUSPEND_CAP, SUSPEND_BASE * 2**self._consecutive_failures)
            self._consecutive_failures = min(self._consecutive_failures + 1, 8)
            self.suspended_until = max(self.suspended_until, now + pause)
