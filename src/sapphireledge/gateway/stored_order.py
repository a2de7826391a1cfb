"""An order to roll out a version, as the store holds it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.rollout import RolloutOrder, RolloutState

__all__ = ["StoredOrder"]


@dataclass(frozen=True, slots=True)
class StoredOrder:
    """An order to roll out a version, as the store holds it."""

    order: RolloutOrder
    """The order."""

    state: RolloutState | None
    """State of this order in its status, None if no instance has written one yet."""

    revision: int
    """Revision of the object, a condition of the next write of its status."""

    completed_before: bool = False
    """Whether the status says that an earlier order for the same target was completed."""
