"""Decision to leave a stream waiting at this instance."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["WaitForEngine"]


@dataclass(frozen=True, slots=True)
class WaitForEngine:
    """Decision to leave a stream waiting at this instance."""

    delay: float
    """Seconds until the next placement."""

    estimate: float
    """Expected time to the next event in seconds if it started now."""
