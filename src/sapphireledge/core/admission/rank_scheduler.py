"""Scheduling of work of all ranks on one pool of backend servers."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from sapphireledge.core.admission._rank_state import RankState, RunningWork, WaitingWork
from sapphireledge.core.admission.admitted import Admitted
from sapphireledge.core.admission.capacity import Capacity
from sapphireledge.core.admission.dropped_work import DroppedWork
from sapphireledge.core.admission.rank_load import RankLoad
from sapphireledge.core.admission.usage_ledger import UsageLedger
from sapphireledge.errors import ErrorKind, Failure, Ran

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from sapphireledge.core.admission.queued_work import QueuedWork
    from sapphireledge.core.declarations import Rank
    from sapphireledge.settings import AdmissionSettings

__all__ = ["RankScheduler"]

RESUME_RESERVE_SHARE = 0.5
"""Share of the unused reserves of more urgent ranks that resumes may use.

The loss of an engine removes free slots and interrupts running work at the same time. Without this
share, resumes of a rank that floods the pool would wait for running work to end while the reserve
stays idle.
"""

YIELD_TIME = 0.05
"""Time in seconds for which a usable slot is left to other instances, per reason to yield.

Each instance orders only its own queue. Without yielding, an instance whose queue holds only the
work of a flood would take slots that more urgent work, or workspaces with little usage, wait for on
other instances.
"""

HEAVY_YIELD_TIME = 0.3
"""Time in seconds for which a heavy workspace leaves a usable slot to other instances. Its work can
hold the slot for long, so a short lull of the others would otherwise take many slots from them."""

HEAVY_USAGE_FACTOR = 2.0
"""Multiple of the mean usage above which the usage per weight of a workspace makes it yield."""

ITEM_RATE_PRIOR = 1.0
"""Weight of the mean rate of all ranks in the rate of one, in seconds per running work item."""

WAIT_SAMPLE_SIZE = 32
"""Waiting workspaces evaluated to estimate a wait; of more, about as many are sampled evenly."""

MIN_RETRY_AFTER = 0.1
"""Minimum announced retry time in seconds."""

MAX_RETRY_AFTER = 60.0
"""Maximum announced retry time in seconds; load is not predictable any further ahead."""

MIN_COMPACT = 64
"""Length of the deadline heap up to which stale entries are kept."""


class RankScheduler:
    """Decides which waiting work of one pool starts next.

    A pool is a set of backend servers that can run the same work, such as the engines of one model
    version. Several schedulers can share a `UsageLedger`, so that fairness spans the pools.

    Lifecycle of a work item: `offer` admits it, `next` dispatches it (charges the estimate and
    counts it as running), `on_started` reports that a backend server has started it, `on_consumed`
    reports its output, and `on_ended` its end. `withdraw` cancels it at any earlier point.
    """

    def __init__(
        self,
        ranks: Mapping[str, Rank],
        cfg: AdmissionSettings,
        ledger: UsageLedger | None = None,
    ):
        self._cfg = cfg
        self._ledger = UsageLedger(cfg.usage_half_life) if ledger is None else ledger
        self._states: dict[str, RankState] = {}
        self._states_by_urgency: list[RankState] = []
        self._waiting: dict[str, WaitingWork] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._running: dict[str, RunningWork] = {}
        self._displaced: list[DroppedWork] = []
        self._capacity = Capacity(0, 0)
        self._capacity_known = False
        self._now = 0.0
        self._sequence = 0
        self._stop_watching = self._ledger.watch_decreases(self._on_usage_decrease)
        self.set_ranks(ranks)

    @property
    def ledger(self) -> UsageLedger:
        """Usage that determines the order of workspaces within a rank."""
        return self._ledger

    def close(self) -> None:
        """Detaches the scheduler from a shared ledger."""
        self._stop_watching()

    def set_ranks(self, ranks: Mapping[str, Rank]) -> None:
        """Updates the declared ranks.

        Queued work of a rank that is no longer declared is served under its last declaration.

        Args:
            ranks: Declared ranks by name.
        """
        for name, rank in ranks.items():
            state = self._states.get(name)
            if state is None:
                self._states[name] = RankState(rank, self._ledger, self._cfg.share_window)
            else:
                state.rank = rank
        for name, state in self._states.items():
            state.declared = name in ranks
        self._states_by_urgency = sorted(
            self._states.values(), key=lambda s: (s.rank.order, s.rank.name)
        )

    def offer(self, now: float, work: QueuedWork) -> Admitted | Failure:
        """Admits work to the queue or refuses it immediately.

        Resumes of a declared rank are always admitted, because the caller is already reading the
        answer.

        Args:
            now: Current time in seconds.
            work: Work item to admit.

        Returns:
            The admission with the estimated wait, or a failure with `ran` NO: would_be_late,
            overloaded, deadline_exceeded or invalid_request.
        """
        self._now = max(self._now, now)
        state = self._states.get(work.rank)
        if state is None or not state.declared:
            return Failure(ErrorKind.INVALID_REQUEST, f"rank {work.rank!r} is not declared")
        if work.work_id in self._waiting or work.work_id in self._running:
            return Failure(
                ErrorKind.INVALID_REQUEST,
                f"work item {work.work_id!r} is already queued or running",
            )
        deadline = self._start_deadline(now, state, work)
        if work.is_resume:
            self._enqueue(now, state, work, deadline, 0.0)
            return Admitted(0.0, deadline)
        if deadline <= now:
            return Failure(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline had already passed when the request arrived",
            )
        wait = self.estimated_wait(now, work)
        if wait > deadline - now:
            return self._refuse_late(now, state, work, wait, deadline - now)
        if len(self._waiting) >= self._cfg.max_queued and not self._displace(now, state, work):
            retry_after = self._retry_after(now, state, work, wait)
            return Failure(
                ErrorKind.OVERLOADED, "the admission queue is full", retry_after=retry_after
            )
        self._enqueue(now, state, work, deadline, wait)
        return Admitted(wait, deadline)

    def next(self, now: float, capacity: Capacity) -> list[QueuedWork | DroppedWork]:
        """Dispatches the work that starts now and returns the work that was dropped.

        Dispatched work counts as running from here on. If it cannot be sent, `withdraw` releases
        its slot and refunds its charge.

        Args:
            now: Current time in seconds.
            capacity: Capacity as this instance sees it; slots of work dispatched earlier are not
                free.

        Returns:
            Work that expired or was displaced, followed by the work to start, in order.
        """
        self._now = max(self._now, now)
        self._capacity = capacity
        self._capacity_known = True
        result: list[QueuedWork | DroppedWork] = [*self._displaced, *self._expire(now)]
        self._displaced = []
        if self._waiting:
            self._update_item_rates(now)
        slots = capacity.free
        self._update_usable_since(now, slots)
        while slots > 0 and self._waiting:
            work = self._pick(slots)
            if work is None:
                break
            self._dispatch(now, work)
            result.append(work)
            slots -= 1
        self._update_usable_since(now, slots)
        return result

    def on_started(self, now: float, work_id: str) -> None:
        """Records that a backend server has started the work.

        Args:
            now: Current time in seconds.
            work_id: Work that `next` dispatched.
        """
        self._now = max(self._now, now)
        running = self._running.get(work_id)
        if running is None or running.started:
            return
        running.started = True
        self._states[running.work.rank].tokens.add(now, running.work.prompt_tokens)

    def on_consumed(self, now: float, work_id: str, tokens: int) -> None:
        """Counts generated tokens.

        Args:
            now: Current time in seconds.
            work_id: Running work; unknown work is ignored.
            tokens: Number of tokens generated since the last call.
        """
        self._now = max(self._now, now)
        running = self._running.get(work_id)
        if running is None:
            return
        running.consumed += tokens
        self._states[running.work.rank].tokens.add(now, tokens)
        excess = running.work.prompt_tokens + running.consumed - running.charged
        if excess > 0:
            self._ledger.charge(now, running.work.workspace, excess)
            running.charged += excess

    def on_ended(self, now: float, work_id: str) -> None:
        """Releases the slot of work that ended for any reason and corrects its charge.

        Args:
            now: Current time in seconds.
            work_id: Work that `next` dispatched; unknown work is ignored.
        """
        self._now = max(self._now, now)
        running = self._running.pop(work_id, None)
        if running is None:
            return
        state = self._states[running.work.rank]
        state.count_running(now, -1)
        state.running_resumes -= running.work.is_resume
        used = running.work.prompt_tokens + running.consumed if running.started else 0
        surplus = running.charged - used
        if surplus > 0:
            # The charge was made at dispatch and has decayed since, so the refund must decay too.
            decay = 2.0 ** ((running.since - now) / self._cfg.usage_half_life)
            self._ledger.charge(now, running.work.workspace, -surplus * decay)

    def withdraw(self, work_id: str) -> bool:
        """Cancels work, for example because its caller disconnected.

        Args:
            work_id: Waiting or running work.

        Returns:
            Whether the work was known.
        """
        waiting = self._waiting.get(work_id)
        if waiting is not None:
            self._dequeue(waiting.work)
            return True
        known = work_id in self._running
        self.on_ended(self._now, work_id)
        return known

    def estimated_wait(self, now: float, work: QueuedWork) -> float:
        """Estimates how long work would wait if it were offered now.

        Args:
            now: Current time in seconds.
            work: A first attempt.

        Returns:
            Estimated wait in seconds; 0 while the capacity is not known.
        """
        state = self._states[work.rank]
        if not self._capacity_known or self._capacity.total <= 0:
            return 0.0
        reserved = self._reserved_slots(state)
        spare = self._capacity.free - reserved
        if len(self._waiting) < spare:
            return 0.0
        rate = self._rank_rate(now, state)
        if rate <= 0.0:
            return 0.0
        ahead = self._cost_ahead(now, state, work) - max(0.0, spare) * work.cost
        # The work also needs a slot, which becomes free after half a work item on average.
        return state.correction(now) * max(0.0, ahead + work.cost / 2) / rate

    def loads(self) -> tuple[RankLoad, ...]:
        """Counts running and waiting work by rank, the most urgent rank first.

        Returns:
            One entry for each rank.
        """
        return tuple(
            RankLoad(s.rank.name, s.running, s.queue.size + len(s.resumes))
            for s in self._states_by_urgency
        )

    def next_wake(self, now: float) -> float | None:
        """Computes when `next` must be called again if nothing else happens.

        Args:
            now: Current time in seconds.

        Returns:
            Time in seconds of the next expiry or end of a yield time, or None if nothing waits.
        """
        if not self._waiting:
            return None
        times = [self._deadlines[0][0]]
        yields = [s.usable_since for s in self._states_by_urgency if s.usable_since is not None]
        times += [
            since + n * YIELD_TIME for since in yields for n in range(len(self._states_by_urgency))
        ]
        times += [time + HEAVY_YIELD_TIME for time in times[1:]]
        later = [time for time in times if time > now]
        return min(later, default=now)

    @property
    def queued(self) -> int:
        """Number of waiting work items."""
        return len(self._waiting)

    def _start_deadline(self, now: float, state: RankState, work: QueuedWork) -> float:
        """Computes the time by which work must start."""
        if work.deadline is not None:
            return work.deadline
        accepts_late = state.rank.late or work.is_resume
        return now + (
            max(self._cfg.late_wait, state.rank.target) if accepts_late else state.rank.target
        )

    def _enqueue(
        self, now: float, state: RankState, work: QueuedWork, deadline: float, estimate: float
    ) -> None:
        """Adds work to the queue of its rank."""
        self._waiting[work.work_id] = WaitingWork(
            work, now, deadline, estimate, state.correction(now)
        )
        heappush(self._deadlines, (deadline, work.work_id))
        if work.is_resume:
            self._sequence += 1
            heappush(state.resume_heap, (-work.delivered, self._sequence, work.work_id))
            state.resumes[work.work_id] = self._sequence
        else:
            state.queue.push(work)

    def _dequeue(self, work: QueuedWork) -> None:
        """Removes work from the queue of its rank."""
        state = self._states[work.rank]
        del self._waiting[work.work_id]
        if work.is_resume:
            del state.resumes[work.work_id]
        else:
            state.queue.remove(work)
        if len(self._deadlines) > max(MIN_COMPACT, 4 * len(self._waiting)):
            self._deadlines = [(item.deadline, name) for name, item in self._waiting.items()]
            heapify(self._deadlines)

    def _expire(self, now: float) -> Iterator[DroppedWork]:
        """Removes and yields the work whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] < now:
            deadline, work_id = heappop(self._deadlines)
            waiting = self._waiting.get(work_id)
            if waiting is None or waiting.deadline != deadline:
                continue
            work = waiting.work
            self._dequeue(work)
            self._states[work.rank].record_wait(now, waiting)
            reason = "the deadline passed while the request was queued"
            yield DroppedWork(work, _refusal(ErrorKind.DEADLINE_EXCEEDED, reason, work))

    def _displace(self, now: float, state: RankState, work: QueuedWork) -> bool:
        """Makes room in a full queue by displacing work of lower worth.

        At equal worth, work of the workspace with the longest queue is displaced in favour of a
        workspace with a shorter one.

        Returns:
            Whether a work item was displaced.
        """
        lowest = min(
            (s for s in self._states_by_urgency if s.queue.size),
            key=lambda s: (s.rank.worth, -s.rank.order),
            default=None,
        )
        if lowest is None or lowest.rank.worth > state.rank.worth:
            return False
        victim = lowest.queue.displacement_candidate()
        if victim is None:
            return False
        if lowest.rank.worth == state.rank.worth:
            queue_length = state.queue.length_of(work.workspace)
            if queue_length + 1 >= lowest.queue.length_of(victim.workspace):
                return False
        self._dequeue(victim)
        wait = self.estimated_wait(now, victim)
        failure = Failure(
            ErrorKind.OVERLOADED,
            "displaced from the full admission queue by work that takes precedence",
            retry_after=self._retry_after(now, lowest, victim, wait),
        )
        self._displaced.append(DroppedWork(victim, failure))
        return True

    def _pick(self, slots: int) -> QueuedWork | None:
        """Selects the work for one free slot."""
        resume = self._pick_resume(slots)
        if resume is not None:
            return resume
        shared = self._capacity.total - self._capacity.free > len(self._running)
        for state, below_share in self._backlogged_by_urgency():
            if slots - 1 < self._reserved_slots(state):
                continue
            workspace = state.queue.next_workspace()
            assert workspace is not None
            if shared and self._must_yield(state, workspace, below_share):
                continue
            return state.queue.oldest_work_of(workspace)
        return None

    def _update_usable_since(self, now: float, slots: int) -> None:
        """Updates the time since which each rank has had usable slots."""
        for state in self._states_by_urgency:
            if slots - 1 < self._reserved_slots(state):
                state.usable_since = None
            elif state.usable_since is None:
                state.usable_since = now

    def _must_yield(self, state: RankState, workspace: str, below_share: bool) -> bool:
        """Returns whether work still has to leave the usable slots to other instances.

        Work waits one yield time for each more urgent rank, unless its own rank is below its share,
        and another one if its workspace is a heavy user.
        """
        ranks_ahead = 0 if below_share else self._states_by_urgency.index(state)
        yield_time = ranks_ahead * YIELD_TIME
        if self._is_heavy_user(state, workspace):
            yield_time += HEAVY_YIELD_TIME
        since = self._now if state.usable_since is None else state.usable_since
        return self._now - since < yield_time

    def _is_heavy_user(self, state: RankState, workspace: str) -> bool:
        """Returns whether a workspace has used far more than the mean."""
        usage = self._ledger.usage(self._now, workspace) / state.queue.weight_of(workspace)
        return usage > HEAVY_USAGE_FACTOR * self._ledger.mean_usage(self._now)

    def _backlogged_by_urgency(self) -> list[tuple[RankState, bool]]:
        """Returns the backlogged ranks, those below their share first, then by urgency.

        Each rank comes with whether it is below its share.
        """
        backlogged = [state for state in self._states_by_urgency if state.queue.size]
        if len(backlogged) < 2:
            return [(state, False) for state in backlogged]
        total = sum(state.running * state.rate_per_item for state in self._states_by_urgency)
        below: list[tuple[float, int, RankState]] = []
        rest: list[tuple[RankState, bool]] = []
        for position, state in enumerate(backlogged):
            due = state.rank.share * total
            received = state.running * state.rate_per_item
            if state.rank.share > 0.0 and received < due:
                below.append((received / due, position, state))
            else:
                rest.append((state, False))
        below.sort()
        return [(state, True) for _, _, state in below] + rest

    def _update_item_rates(self, now: float) -> None:
        """Updates the token rate per running work item of each rank.

        A plain sum of tokens over the window would lag behind the starts of generations that run
        longer than the window, and the ranks would overshoot their shares in turn. So the window
        provides only the rate per work item, which is multiplied by the number of running ones.
        """
        samples = [(s.tokens.value(now), s.slot_time(now)) for s in self._states_by_urgency]
        slot_time = sum(sample[1] for sample in samples)
        mean = sum(sample[0] for sample in samples) / slot_time if slot_time > 0.0 else 0.0
        for state, (tokens, time) in zip(self._states_by_urgency, samples, strict=True):
            prior = ITEM_RATE_PRIOR * max(1, state.running)
            state.rate_per_item = (tokens + prior * mean) / (time + prior) if mean > 0.0 else 1.0

    def _pick_resume(self, slots: int) -> QueuedWork | None:
        """Selects a resume; while first attempts wait, resumes are limited to their share."""
        if not any(state.resumes for state in self._states_by_urgency):
            return None
        resumes = sum(
            state.running_resumes for state in self._states_by_urgency
        ) * self._fleet_scale(slots)
        first_attempts_wait = any(state.queue.size for state in self._states_by_urgency)
        if first_attempts_wait and resumes + 1 > max(
            1.0, self._cfg.resume_share * self._capacity.total
        ):
            return None
        for state in self._states_by_urgency:
            work = self._first_resume(state)
            if work is not None and slots > RESUME_RESERVE_SHARE * self._reserved_slots(state):
                return work
        return None

    def _first_resume(self, state: RankState) -> QueuedWork | None:
        """Returns the waiting resume of a rank with the most delivered tokens."""
        while state.resume_heap:
            _, sequence, work_id = state.resume_heap[0]
            if state.resumes.get(work_id) == sequence:
                return self._waiting[work_id].work
            heappop(state.resume_heap)
        return None

    def _dispatch(self, now: float, work: QueuedWork) -> None:
        """Moves work from waiting to running and charges its estimated cost."""
        state = self._states[work.rank]
        state.record_wait(now, self._waiting[work.work_id])
        self._dequeue(work)
        state.count_running(now, 1)
        state.running_resumes += work.is_resume
        state.started_cost.add(now, work.cost)
        self._running[work.work_id] = RunningWork(work, now, work.cost)
        self._ledger.charge(now, work.workspace, work.cost)

    def _reserved_slots(self, state: RankState) -> float:
        """Computes the slots that a rank must leave free as reserves of more urgent ranks.

        Only the unused part of a reserve counts. A saturated rank needs no reserve: it takes free
        slots itself, and only its share protects the other ranks from it. Early refusal keeps its
        queue so short that it is sometimes empty, so a recent refusal also counts as saturation.
        """
        reserved = 0.0
        for other in self._states_by_urgency:
            if other.rank.order >= state.rank.order:
                break
            if other.rank.reserve and not other.is_saturated(self._now):
                used = self._reserve_used(other)
                reserved += max(0.0, other.rank.reserve * self._capacity.total - used)
        return reserved

    def _reserve_used(self, state: RankState) -> int:
        """Counts the running work that uses the reserve of a rank.

        If other instances use the pool and their work is not known, none counts, so that the full
        reserve is kept free in addition to the running work. Rejected alternatives: extrapolating
        local work to all instances, because with few running work items per instance the estimate
        varies so much that the reserve was given away; and counting only local work, because the
        instances then withhold different amounts and those that withhold less take all slots.
        """
        known = self._capacity.running
        if known:
            return max(state.running, known.get(state.rank.name, 0))
        busy = self._capacity.total - self._capacity.free
        return state.running if busy <= len(self._running) else 0

    def _fleet_scale(self, slots: int) -> float:
        """Estimates the ratio of all work running in the pool to that of this instance.

        Other instances use the same backend servers and are assumed to run the same mix of ranks.
        """
        running = len(self._running)
        busy = self._capacity.total - slots
        return max(1.0, busy / running) if running else 1.0

    def _rank_rate(self, now: float, state: RankState) -> float:
        """Estimates the rate at which queued work of a rank can start, in tokens per second."""
        busy = self._capacity.total - self._capacity.free
        if busy <= 0 or self._capacity.token_rate <= 0.0:
            return 0.0
        local_slots = min(self._capacity.total, max(1, len(self._running)) + self._capacity.free)
        rate = self._capacity.token_rate / busy * local_slots
        others = 0.0
        for other in self._states_by_urgency:
            if other is state:
                continue
            started = other.started_cost.rate(now)
            if other.rank.order > state.rank.order:
                due = other.rank.share * rate if other.queue.size else started
                started = min(started, due)
            others += started
        return max(rate - others, max(0.01, state.rank.share) * rate)

    def _cost_ahead(self, now: float, state: RankState, work: QueuedWork) -> float:
        """Estimates the cost in tokens of the work of its rank that starts before `work`.

        `work` starts when its workspace, with the waiting work of that workspace included, has the
        lowest usage per weight. Until then each other workspace starts as much of its waiting work
        as brings it to the same usage per weight.
        """
        own_backlog = state.queue.backlog_of(work.workspace)
        if state.queue.backlog <= own_backlog:
            return own_backlog
        target = (self._ledger.usage(now, work.workspace) + own_backlog) / work.weight
        sample, factor = state.queue.sample(WAIT_SAMPLE_SIZE)
        others = 0.0
        for name, usage in zip(sample, self._ledger.usages(now, sample), strict=True):
            deficit = state.queue.weight_of(name) * target - usage
            if deficit > 0.0 and name != work.workspace:
                others += min(state.queue.backlog_of(name), deficit)
        return own_backlog + others * factor

    def _refuse_late(
        self, now: float, state: RankState, work: QueuedWork, wait: float, allowed: float
    ) -> Failure:
        """Builds the failure of work that would start too late."""
        state.last_late_refusal = now
        reason = (
            f"the first token is expected in {wait:.1f} s, but the deadline is in {allowed:.1f} s"
        )
        retry_after = self._retry_after(now, state, work, wait - allowed)
        return Failure(ErrorKind.WOULD_BE_LATE, reason, retry_after=retry_after)

    def _retry_after(self, now: float, state: RankState, work: QueuedWork, excess: float) -> float:
        """Computes the delay in seconds after which a retry can succeed.

        Retries of one workspace are spread over the time that its share of the capacity needs for
        them; otherwise all of them would arrive at the same moment and be refused again.
        """
        rate = self._rank_rate(now, state)
        weights = max(state.queue.total_weight, work.weight)
        interval = work.cost * weights / (work.weight * rate) if rate > 0.0 else 0.0
        retry_at = max(now + excess, state.retry_times.get(work.workspace, now) + interval)
        retry_at = min(retry_at, now + MAX_RETRY_AFTER)
        state.record_retry_time(now, work.workspace, retry_at)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, retry_at - now))

    def _on_usage_decrease(self, workspace: str) -> None:
        """Notifies the queues of all ranks that the usage of a workspace decreased."""
        for state in self._states_by_urgency:
            state.queue.on_usage_decrease(workspace)


def _refusal(kind: ErrorKind, reason: str, work: QueuedWork) -> Failure:
    """Builds the failure of queued work; a resume has already run in part."""
    return Failure(kind, reason, Ran.YES if work.is_resume else Ran.NO)
