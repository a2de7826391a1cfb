"""Decides when failures of backend servers look like a partition."""

from __future__ import annotations

__all__ = ["FailureWindow"]

SUSPECT_FAILURES = 2
"""Different servers that failed within `SUSPECT_WINDOW`, without a new connection to any server,
before others are probed."""

SUSPECT_WINDOW = 2.0
"""Seconds for which a failure counts."""


class FailureWindow:
    """Failures of servers since the last connection that was opened to one."""

    def __init__(self) -> None:
        """Creates a window without failures."""
        self._failed_at: dict[str, float] = {}

    def on_failure(self, now: float, server_id: str) -> bool:
        """Records that a server could not be reached, or has not responded.

        Args:
            now: Current time in seconds.
            server_id: Id of the server.

        Returns:
            Whether a partition is suspected.
        """
        self._failed_at = {
            name: at for name, at in self._failed_at.items() if now - at < SUSPECT_WINDOW
        }
        self._failed_at[server_id] = now
        return len(self._failed_at) >= SUSPECT_FAILURES

    def clear(self) -> None:
        """Forgets the failures, because a server was reached."""
        self._failed_at.clear()
