"""State of the roll-out of a version."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["RolloutState"]


class RolloutState(StrEnum):
    """State of a roll-out; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"
