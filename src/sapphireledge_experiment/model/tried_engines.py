"""What one call has tried so far."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge_experiment.model.engine_run import EngineRun

__all__ = ["TriedEngines"]


@dataclass(slots=True)
class TriedEngines:
    """What one call has tried so far."""

    has_run: bool
    """Whether an engine may have run the request."""

    contacted: int = 0
    """Number of engines that the request was sent to."""

    failed: set[str] = field(default_factory=set)
    """Server ids of the engines that did not complete the stream."""

    lost_centres: set[str] = field(default_factory=set)
    """Data centres in which an engine was lost."""

    previous: EngineRun | None = None
    """Run that was lost and whose copy may still be used."""

    def release_copy(self) -> None:
        """Frees the copy of the run that was lost."""
        if self.previous is not None:
            self.previous.release_copy()
            self.previous = None
