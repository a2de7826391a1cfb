"""What an instance observes of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["BackendState"]

SUSPEND_BASE = 0.5
"""Seconds without new work after a first failure to answer."""

SUSPEND_CAP = 2.0
"""Longest time in seconds without new work; engines are back after one to several seconds."""

FAILURE_EWMA_WEIGHT = 0.25
"""Weight of one outcome in the mean rate of failures."""


class BackendState:
    """Work in flight and recent outcomes of one backend server."""

    __slots__ = ("_consecutive_failures", "failure_rate", "running", "server", "suspended_until")

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        """Latest description."""

        self.running = 0
        """Requests of this instance in flight."""

        self.failure_rate = 0.0
        """Moving mean of failed outcomes, 0 to 1."""

        self.suspended_until = 0.0
        """Time in seconds until which other servers are preferred."""

        self._consecutive_failures = 0

    def on_success(self) -> None:
        """Notes a complete answer."""
        self._consecutive_failures = 0
        self.suspended_until = 0.0
        self.failure_rate -= FAILURE_EWMA_WEIGHT * self.failure_rate

    def on_failure(self, now: float, *, suspend: bool) -> None:
        """Notes a failed outcome.

        Args:
            now: Time in seconds.
            suspend: Whether the server did not answer at all, so that it gets no new work a while.
        """
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - self.failure_rate)
        if suspend:
            pause = min(SUSPEND_CAP, SUSPEND_BASE * 2**self._consecutive_failures)
            self._consecutive_failures = min(self._consecutive_failures + 1, 8)
            self.suspended_until = max(self.suspended_until, now + pause)
