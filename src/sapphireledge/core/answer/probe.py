"""Decision to query a backend server on a new connection for the state of an attempt."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Probe"]


@dataclass(frozen=True, slots=True)
class Probe:
    """Decision to query a backend server on a new connection for the state of an attempt."""

    attempt: int
    """Number of the attempt that stopped sending."""

    backend: str
    """Backend server to query."""
