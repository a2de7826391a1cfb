"""Exception for callers' requests that cannot be read."""

from __future__ import annotations

__all__ = ["MalformedRequest"]


class MalformedRequest(Exception):
    """A caller's request is invalid, too large or incomplete."""

    def __init__(self, status: int, reason: str) -> None:
        """Creates the exception.

        Args:
            status: HTTP status of the response.
            reason: Description of the problem.
        """
        super().__init__(reason)
        self.status = status
