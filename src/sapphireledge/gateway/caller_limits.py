"""Size and time limits for callers' requests."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CallerLimits"]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits set by the configuration; the defaults apply until one has been loaded."""

    header_bytes: int = 16_384
    """Largest request head in bytes."""

    body_bytes: int = 4_194_304
    """Largest request body in bytes."""

    read_limit: float = 3.0
    """Timeout in seconds for receiving a request head."""

    idle_limit: float = 15.0
    """Timeout in seconds between two requests and between two chunks of a request body."""
