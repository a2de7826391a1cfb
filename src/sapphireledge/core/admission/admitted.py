"""Result of an accepted offer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Admitted"]


@dataclass(frozen=True, slots=True)
class Admitted:
    """Result of an offer that was admitted to the queue."""

    wait: float
    """Estimated wait in seconds."""

    deadline: float
    """Time in seconds at which the work expires if it has not started."""
