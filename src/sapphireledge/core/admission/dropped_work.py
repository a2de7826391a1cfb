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
    """Work that is refused after it waited: too late, or displaced by work of higher worth."""

    work: QueuedWork
    """The work."""

    failure: Failure
    """Why it is refused; `ran` is NO for a first try and YES for a resume."""
