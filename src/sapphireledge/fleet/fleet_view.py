"""What the fleet controller sees of its data centre."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.declarations import Deployment
    from sapphireledge.core.fleet import EngineState

__all__ = ["FleetView"]


@dataclass(frozen=True, slots=True)
class FleetView:
    """What the fleet controller sees of its data centre."""

    deployments: tuple[Deployment, ...]
    """Declared deployments."""

    engines: tuple[EngineState, ...]
    """Fresh reports of the live engines of the data centre, leaving ones excluded."""

    demand: Mapping[str, float] = field(default_factory=dict)
    """Ready engines that each deployment needs for its ranks at the current load."""
