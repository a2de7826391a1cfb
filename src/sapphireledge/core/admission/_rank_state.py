"""State of one rank inside the scheduler."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sapphireledge.core.admission._private import DecayedSum
from sapphireledge.core.admission.admission_queue import AdmissionQueue

if TYPE_CHECKING:
    from sapphireledge.core.admission.queued_work import QueuedWork
    from sapphireledge.core.admission.usage_ledger import UsageLedger
    from sapphireledge.core.declarations import Rank

__all__ = ["RankState", "RunningWork"]

MIN_PROMISES = 256
"""Number of promised retry times below which past ones are kept."""


@dataclass(slots=True)
class RunningWork:
    """Work that was handed out and has not ended."""

    work: QueuedWork
    """The work."""

    since: float
    """Time at which it was handed out, in seconds."""

    charged: int
    """Tokens charged to its workspace so far."""

    consumed: int = 0
    """Tokens generated so far."""

    started: bool = False
    """Whether a backend server has it."""


class RankState:
    """State of one rank inside the scheduler."""

    def __init__(self, rank: Rank, ledger: UsageLedger, window: float):
        self.rank = rank
        """Last declaration."""
        self.declared = True
        """Whether the rank is still declared."""
        self.queue = AdmissionQueue(ledger)
        """Waiting first tries."""
        self.resumes: dict[str, int] = {}
        """Waiting resumes and the sequence of their heap entry."""
        self.resume_heap: list[tuple[int, int, str]] = []
        """Resumes ordered by the tokens delivered, most first."""
        self.running = 0
        """Works handed out and not ended."""
        self.running_resumes = 0
        """Resumes among them."""
        self.tokens = DecayedSum(window)
        """Tokens received in the window."""
        self.starts = DecayedSum(window)
        """Estimated cost of the work started in the window."""
        self.promised: dict[str, float] = {}
        """Retry time last announced to each refused workspace."""

    def promise(self, now: float, workspace: str, at: float) -> None:
        """Remembers an announced retry time.

        Args:
            now: Time in seconds.
            workspace: Name of the workspace.
            at: Announced time in seconds.
        """
        self.promised[workspace] = at
        if len(self.promised) > MIN_PROMISES and len(self.promised) > 2 * self.queue.size:
            self.promised = {w: t for w, t in self.promised.items() if t > now}
