"""How a request ended for its caller."""

from __future__ import annotations

from enum import Enum

__all__ = ["Ending"]


class Ending(Enum):
    """How a request ended for its caller."""

    ON_TIME = "on_time"
    """Complete, and the first event arrived within the target."""

    LATE = "late"
    """Complete, but the first event arrived late."""

    REFUSED = "refused"
    """Every call was refused as not run."""

    FAILED = "failed"
    """Cut, without an answer in time, or left by its caller."""
