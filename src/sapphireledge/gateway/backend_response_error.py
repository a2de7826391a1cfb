"""Exception for unusable responses of backend servers."""

from __future__ import annotations

__all__ = ["BackendResponseError"]


class BackendResponseError(Exception):
    """A response was truncated, invalid or missing; the request may have been executed."""

    def __init__(
        self,
        reason: str,
        *,
        connection_lost: bool = False,
        silent: bool = False,
        is_given_up: bool = False,
    ) -> None:
        """Creates the exception.

        Args:
            reason: Description of the cause, for the log.
            connection_lost: Whether the backend server closed or reset the connection.
            silent: Whether nothing shows that the backend server is alive.
            is_given_up: Whether this instance does not wait any longer for a response that the
                backend server may still send.
        """
        super().__init__(reason)
        self.connection_lost = connection_lost
        """Whether the backend server closed or reset the connection."""

        self.silent = silent
        """Whether nothing shows that the backend server is alive."""

        self.is_given_up = is_given_up
        """Whether this instance does not wait any longer for a response."""
