"""What becomes of a stream that its caller takes up again."""

from __future__ import annotations

from enum import Enum

__all__ = ["TakeUpDecision"]


class TakeUpDecision(Enum):
    """What becomes of a stream that its caller takes up again."""

    CONTINUED = "continued"
    """It goes on at a server of the version that began it."""

    UNKNOWN = "unknown"
    """It is refused, as the version that began it is not known."""

    GONE = "gone"
    """It is refused, as no server of the version that began it takes requests."""
