"""Lifecycle state of an entry instance, as reported to its peers."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["EntryState"]


class EntryState(StrEnum):
    """Lifecycle state of an entry instance."""

    STARTING = "starting"
    """Not yet ready to serve callers."""

    READY = "ready"
    """Accepts new work."""

    DRAINING = "draining"
    """Finishes its work and accepts no new work."""

    STOPPED = "stopped"
    """The process is about to exit."""
