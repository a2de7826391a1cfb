"""State of an entry instance as its peers see it."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["EntryState"]


class EntryState(StrEnum):
    """State of an entry instance."""

    STARTING = "starting"
    """Not yet ready for callers."""

    READY = "ready"
    """Accepts work."""

    DRAINING = "draining"
    """Accepts no new work and ends soon."""

    STOPPED = "stopped"
    """About to end the process."""
