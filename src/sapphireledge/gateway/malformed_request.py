"""Error of a request that cannot be read."""

from __future__ import annotations

__all__ = ["MalformedRequest"]


class MalformedRequest(Exception):
    """Bytes of a caller that are no acceptable request."""

    def __init__(self, status: int, reason: str) -> None:
        """Creates the error.

        Args:
            status: HTTP status of the answer.
            reason: Cause for the log.
        """
        super().__init__(reason)
        self.status = status
