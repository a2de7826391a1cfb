"""Scheduler state of one rank."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from sapphireledge.core.admission.admission_queue import AdmissionQueue
from sapphireledge.core.decay import DecayedSum

if TYPE_CHECKING:
    from sapphireledge.core.admission.queued_work import QueuedWork
    from sapphireledge.core.admission.usage_ledger import UsageLedger
    from sapphireledge.core.declarations import Rank

__all__ = ["RankState", "RunningWork"]

MIN_PRUNED_RETRY_TIMES = 256
"""Number of recorded retry times up to which past ones are not pruned."""

MAX_CORRECTION = 8.0
"""Maximum correction factor of estimated waits."""

MIN_CORRECTION = 0.5
"""Minimum correction factor of estimated waits."""

CORRECTION_PRIOR = 1.0
"""Seconds of wait assumed to be estimated correctly before any wait was observed."""


@dataclass(frozen=True, slots=True)
class WaitingWork:
    """Work item in the queue."""

    work: QueuedWork
    """The work item."""

    since: float
    """Time at which it was offered, in seconds."""

    deadline: float
    """Time at which it expires, in seconds."""

    estimate: float
    """Estimated wait in seconds."""

    correction: float
    """Correction factor that the estimate includes."""


@dataclass(slots=True)
class RunningWork:
    """Work item that was dispatched and has not ended."""

    work: QueuedWork
    """The work item."""

    since: float
    """Time at which it was dispatched, in seconds."""

    charged: int
    """Number of tokens charged to its workspace so far."""

    consumed: int = 0
    """Number of tokens generated so far."""

    started: bool = False
    """Whether a backend server has started it."""


class RankState:
    """Scheduler state of one rank."""

    def __init__(self, rank: Rank, ledger: UsageLedger, window: float):
        self.rank = rank
        """Latest declaration of the rank."""
        self.declared = True
        """Whether the rank is still declared."""
        self.queue = AdmissionQueue(ledger)
        """Waiting first attempts."""
        self.resumes: dict[str, int] = {}
        """Waiting resumes, with the sequence number of their valid heap entry."""
        self.resume_heap: list[tuple[int, int, str]] = []
        """Heap of resumes: negated delivered tokens, sequence number, work id."""
        self.running = 0
        """Number of running work items."""
        self.running_resumes = 0
        """Number of running resumes."""
        self.tokens = DecayedSum(window)
        """Prompt and output tokens processed in the window."""
        self.rate_per_item = 1.0
        """Tokens per second for each running work item, as last measured."""
        self.started_cost = DecayedSum(window)
        """Estimated cost in tokens of the work dispatched in the window."""
        self.retry_times: dict[str, float] = {}
        """Latest retry time announced to each refused workspace, in seconds."""
        self.usable_since: float | None = None
        """Time since which the rank has had usable slots, in seconds; None without any."""
        self.last_late_refusal = -inf
        """Time of the last refusal because of an expected late start, in seconds."""
        self._waited = DecayedSum(window)
        self._estimated = DecayedSum(window)
        self._slot_time = DecayedSum(window)
        self._slot_time_updated_at = 0.0

    def is_saturated(self, now: float) -> bool:
        """Returns whether the rank has more work than it can start.

        Args:
            now: Current time in seconds.
        """
        return self.queue.size > 0 or now - self.last_late_refusal < self.rank.target

    def count_running(self, now: float, change: int) -> None:
        """Updates the number of running work items.

        Args:
            now: Current time in seconds.
            change: +1 or -1.
        """
        self.slot_time(now)
        self.running += change

    def slot_time(self, now: float) -> float:
        """Returns the slot time that the rank used in the window.

        Args:
            now: Current time in seconds.

        Returns:
            Slot-seconds, decayed over the window.
        """
        if now > self._slot_time_updated_at:
            self._slot_time.add(now, self.running * (now - self._slot_time_updated_at))
            self._slot_time_updated_at = now
        return self._slot_time.value(now)

    def record_wait(self, now: float, waiting: WaitingWork) -> None:
        """Records the actual and the estimated wait of work that leaves the queue.

        Args:
            now: Current time in seconds.
            waiting: Work item that is dispatched or expires.
        """
        if waiting.work.is_resume or waiting.estimate <= 0.0:
            return
        self._waited.add(now, now - waiting.since)
        self._estimated.add(now, waiting.estimate / waiting.correction)

    def correction(self, now: float) -> float:
        """Computes the correction factor from recent actual and estimated waits.

        It accounts for what an estimate cannot include, such as work of other workspaces that
        arrives later and starts first.

        Args:
            now: Current time in seconds.

        Returns:
            Factor by which to multiply a new estimate.
        """
        waited = self._waited.value(now) + CORRECTION_PRIOR
        factor = waited / (self._estimated.value(now) + CORRECTION_PRIOR)
        return min(MAX_CORRECTION, max(MIN_CORRECTION, factor))

    def record_retry_time(self, now: float, workspace: str, at: float) -> None:
        """Records a retry time announced to a workspace.

        Args:
            now: Current time in seconds.
            workspace: Name of the workspace.
            at: Announced retry time in seconds.
        """
        self.retry_times[workspace] = at
        if (
            len(self.retry_times) > MIN_PRUNED_RETRY_TIMES
            and len(self.retry_times) > 2 * self.queue.size
        ):
            self.retry_times = {w: t for w, t in self.retry_times.items() if t > now}
