"""Decision to cancel an attempt at its backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CancelAttempt"]


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Decision to cancel an attempt at its backend server."""

    attempt: int
    """Number of the attempt."""

    backend: str
    """Backend server that runs it."""
