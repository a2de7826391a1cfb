"""What decides about an attempt, for a decision that is not carried out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.admission import Capacity, QueuedWork, RankScheduler
    from sapphireledge.core.routing import RouteRequest

__all__ = ["PoolRehearsal"]


@dataclass(frozen=True, slots=True)
class PoolRehearsal:
    """What decides about an attempt, for a decision that is not carried out."""

    request: RouteRequest
    """Requirements on the backend server."""

    queued: QueuedWork
    """The attempt as it would be offered to the scheduler."""

    scheduler: RankScheduler | None
    """Copy of the scheduler of the model version, None if too much waits to copy it."""

    capacity: Capacity
    """Capacity that this instance may use."""

    waiting: Mapping[str, int]
    """Number of waiting requests by rank."""
