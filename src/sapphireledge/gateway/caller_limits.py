"""Limits on what callers may send."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CallerLimits"]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of the configuration; the defaults hold until one is known."""

    header_bytes: int = 16_384
    """Largest request head in bytes."""

    body_bytes: int = 4_194_304
    """Largest request body in bytes."""

    read_limit: float = 3.0
    """Longest time in seconds to send a request head."""

    idle_limit: float = 15.0
    """Time in seconds after which an idle connection is closed."""
