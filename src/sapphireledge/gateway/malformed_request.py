"""Exception for callers' requests that cannot be read."""

from __future__ import annotations

__all__ = ["MalformedRequest"]


class MalformedRequest(Exception):
    """A caller's request is invalid, too large or incomplete."""

    def __init__(self, status: int, reason: str, retry_after: float | None = None) -> None:
        """Creates the exception.

        Args:
            status: HTTP status of the response.
            reason: Description of the problem.
            retry_after: Seconds after which the same request may be accepted, None if never.
        """
        super().__init__(reason)
        self.status = status
        self.retry_after = retry_after
