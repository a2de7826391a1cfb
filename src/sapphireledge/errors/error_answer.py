"""How one kind of error is answered at each interface."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ErrorAnswer"]


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The answer for one kind of error."""

    http_status: int
    """Status code of the caller interface."""

    exit_code: int
    """Exit code of the command line, 0 to 255."""

    retryable: bool
    """Whether the same request can succeed when it is sent again."""
