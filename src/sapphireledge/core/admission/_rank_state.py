"""State of one rank inside the scheduler."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from sapphireledge.core.admission._decay import DecayedSum
from sapphireledge.core.admission.admission_queue import AdmissionQueue

if TYPE_CHECKING:
    from sapphireledge.core.admission.queued_work import QueuedWork
    from sapphireledge.core.admission.usage_ledger import UsageLedger
    from sapphireledge.core.declarations import Rank

__all__ = ["RankState", "RunningWork"]

MIN_PRUNED_RETRY_TIMES = 256
"""Number of promised retry times below which past ones are kept."""


MAX_CORRECTION = 8.0
"""Largest factor by which estimated waits are corrected."""

MIN_CORRECTION = 0.5
"""Smallest factor by which estimated waits are corrected."""

CORRECTION_PRIOR = 1.0
"""Seconds of estimated wait that count as correct before anything was compared."""


@dataclass(frozen=True, slots=True)
class WaitingWork:
    """Work that waits."""

    work: QueuedWork
    """The work."""

    since: float
    """Time of its offer, in seconds."""

    deadline: float
    """Time at which it expires, in seconds."""

    estimate: float
    """Estimated wait in seconds."""

    correction: float
    """Factor that the estimate contains."""


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
        self.rate_per_item = 1.0
        """Tokens per second and running work, as last measured."""
        self.started_cost = DecayedSum(window)
        """Estimated cost of the work started in the window."""
        self.retry_times: dict[str, float] = {}
        """Retry time last announced to each refused workspace."""
        self.usable_since: float | None = None
        """Time since which there have been slots that the rank may use, in seconds."""
        self.last_late_refusal = -inf
        """Time of the last refusal of late work, in seconds."""
        self._waited = DecayedSum(window)
        self._estimated = DecayedSum(window)
        self._slot_time = DecayedSum(window)
        self._slot_time_updated_at = 0.0

    def is_saturated(self, now: float) -> bool:
        """Whether the rank has more work than it can start.

        Args:
            now: Time in seconds.
        """
        return self.queue.size > 0 or now - self.last_late_refusal < self.rank.target

    def count_running(self, now: float, change: int) -> None:
        """Counts work that starts or ends.

        Args:
            now: Time in seconds.
            change: +1 or -1.
        """
        self.slot_time(now)
        self.running += change

    def slot_time(self, now: float) -> float:
        """Reads how long slots were taken in the window.

        Args:
            now: Time in seconds.

        Returns:
            Seconds, summed over the running work.
        """
        if now > self._slot_time_updated_at:
            self._slot_time.add(now, self.running * (now - self._slot_time_updated_at))
            self._slot_time_updated_at = now
        return self._slot_time.value(now)

    def record_wait(self, now: float, waiting: WaitingWork) -> None:
        """Compares an estimated wait with the real one when the wait ends.

        Args:
            now: Time in seconds.
            waiting: Work that starts or expires.
        """
        if waiting.work.is_resume or waiting.estimate <= 0.0:
            return
        self._waited.add(now, now - waiting.since)
        self._estimated.add(now, waiting.estimate / waiting.correction)

    def correction(self, now: float) -> float:
        """Reads the factor that made recent estimates right.

        It stands for what an estimate cannot know, such as work of other workspaces that arrives
        later and goes first.

        Args:
            now: Time in seconds.

        Returns:
            Factor for a new estimate.
        """
        waited = self._waited.value(now) + CORRECTION_PRIOR
        factor = waited / (self._estimated.value(now) + CORRECTION_PRIOR)
        return min(MAX_CORRECTION, max(MIN_CORRECTION, factor))

    def record_retry_time(self, now: float, workspace: str, at: float) -> None:
        """Remembers an announced retry time.

        Args:
            now: Time in seconds.
            workspace: Name of the workspace.
            at: Announced time in seconds.
        """
        self.retry_times[workspace] = at
        if (
            len(self.retry_times) > MIN_PRUNED_RETRY_TIMES
            and len(self.retry_times) > 2 * self.queue.size
        ):
            self.retry_times = {w: t for w, t in self.retry_times.items() if t > now}
