"""Input of one reconciliation."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.declarations import Deployment
    from sapphireledge.core.fleet import EngineState

__all__ = ["FleetSnapshot"]


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """State of a data centre that the fleet controller reconciles."""

    deployments: tuple[Deployment, ...]
    """Declared deployments."""

    engines: tuple[EngineState, ...]
    """State of the engines that have a recent load report; engines about to stop are excluded."""

    demand: Mapping[str, float] = field(default_factory=dict)
    """Number of ready engines that the current load requires, by deployment name."""
