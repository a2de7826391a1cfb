"""Size of the fleet that shares the prompts of a service."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FleetSize"]


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of the fleet that shares the prompts of a service, and the speed of its engines."""

    instances: int
    """Instances that receive the prompts, at least 1."""

    engines: int
    """Engines that process the prompts, at least 1."""

    prompt_time: float
    """Seconds that an engine takes for a prompt."""
