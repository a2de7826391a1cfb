"""Work of an instance on one call."""

from __future__ import annotations

from typing import Protocol

__all__ = ["CallDriver"]


class CallDriver(Protocol):
    """Work of an instance on one call."""

    def on_instance_died(self) -> None:
        """Ends the work without another word to the caller."""

    def cancel(self, cause: str) -> None:
        """Ends the work because the caller left.

        Args:
            cause: Why it left.
        """
