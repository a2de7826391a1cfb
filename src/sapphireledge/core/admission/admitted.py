"""Result of an accepted offer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Admitted"]


@dataclass(frozen=True, slots=True)
class Admitted:
    """The work waits in the queue."""

    wait: float
    """Estimated wait in seconds."""

    deadline: float
    """Time at which the work expires if it has not started."""
