"""Phases in the life cycle of a generation."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["GenerationPhase"]


class GenerationPhase(StrEnum):
    """Phases in the life cycle of a generation."""

    NEW = "new"
    """The generation has not been started."""

    WAITING = "waiting"
    """A dispatch is pending and no backend server has been chosen yet."""

    ACTIVE = "active"
    """An attempt is running on a backend server."""

    PROBING = "probing"
    """The attempt has stopped sending and its backend server is being probed."""

    ENDED = "ended"
    """The generation is complete, failed, superseded or abandoned by the caller."""
