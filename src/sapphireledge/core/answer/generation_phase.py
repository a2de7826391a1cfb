"""Phases of a generation."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["GenerationPhase"]


class GenerationPhase(StrEnum):
    """Phases of a generation."""

    NEW = "new"
    """Not started."""

    WAITING = "waiting"
    """A dispatch was decided and no backend server is known yet."""

    ACTIVE = "active"
    """An attempt runs on a backend server."""

    PROBING = "probing"
    """The attempt is silent and its backend server is being probed."""

    ENDED = "ended"
    """Complete, refused, or given up by the caller."""
