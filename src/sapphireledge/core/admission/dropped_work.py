"""Work that leaves the queue without having started."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.admission.queued_work import QueuedWork
    from sapphireledge.errors import Failure

__all__ = ["DroppedWork"]


@dataclass(frozen=True, slots=True)
class DroppedWork:
    """Queued work that is refused before it starts, because it expired or was displaced."""

    work: QueuedWork
    """The refused work."""

    failure: Failure
    """Reason for the refusal; `ran` is NO for a first attempt and YES for a resume."""
