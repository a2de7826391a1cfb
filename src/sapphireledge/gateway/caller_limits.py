"""Size and time limits for callers' requests."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CallerLimits"]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits set by the configuration; the defaults apply until one has been loaded."""

    max_head_bytes: int = 16_384
    """Largest request head in bytes."""

    max_body_bytes: int = 4_194_304
    """Largest request body in bytes."""

    head_timeout: float = 3.0
    """Timeout in seconds for receiving a request head."""

    idle_timeout: float = 15.0
    """Timeout in seconds between two requests and between two chunks of a request body."""
