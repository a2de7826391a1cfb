"""Decision to ask a backend server on a new connection about an attempt."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Probe"]


@dataclass(frozen=True, slots=True)
class Probe:
    """Decision to ask a backend server on a new connection about an attempt."""

    attempt: int
    """Attempt that went silent."""

    backend: str
    """Backend server to ask."""
