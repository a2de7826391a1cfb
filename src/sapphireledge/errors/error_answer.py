"""Answer to one kind of error at each interface."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ErrorAnswer"]


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """Status, exit code and retryability of one kind of error."""

    http_status: int
    """HTTP status code sent to callers."""

    exit_code: int
    """Exit code of the command-line tool, 0 to 255."""

    retryable: bool
    """Whether a retry of the same request can succeed."""
