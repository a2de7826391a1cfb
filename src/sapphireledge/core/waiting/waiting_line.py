"""Orders the requests that wait at one instance for a backend server of one service.

Load pattern: a flood of one rank, or of one workspace, or the loss of a data centre's engines whose
streams must be resumed beside new ones. Without an order, chance decides which of the waiting
requests takes a place that becomes free: urgent requests become late behind others, a heavy
workspace takes most places, and a reader waits in the middle of a text behind new requests.
"""

from __future__ import annotations

from copy import deepcopy
from itertools import count
from typing import TYPE_CHECKING

from sapphireledge.core.admission import UsageLedger
from sapphireledge.core.decay import DecayedSum
from sapphireledge.core.shared_load import WorkspaceStreams
from sapphireledge.core.waiting.counts_elsewhere import CountsElsewhere
from sapphireledge.core.waiting.line_snapshot import LineSnapshot
from sapphireledge.core.waiting.served_shares import ServedShares

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from random import Random

    from sapphireledge.core.waiting.waiting_limits import WaitingLimits
    from sapphireledge.core.waiting.waiting_work import WaitingWork

__all__ = ["WaitingLine"]


class WaitingLine:
    """Orders the requests that wait at one instance for a backend server of one service.

    The line decides who is offered a place first; whether a place is good enough for a request is
    decided where the load of the backend servers is known, see `PlacementRule`.
    """

    def __init__(
        self,
        limits: WaitingLimits,
        rng: Random,
        streams_elsewhere: Callable[[float], Mapping[str, WorkspaceStreams]] = lambda now: {},
    ) -> None:
        """Creates an empty line.

        Args:
            limits: Limits and weights.
            rng: Source of the spread of returning callers.
            streams_elsewhere: Returns the streams of each workspace at other instances of the data
                centre at a time, empty if they are not known.
        """
        self._limits = limits
        self._streams_elsewhere = streams_elsewhere
        self._rng = rng
        self._tickets = count(1)
        self._waiting: dict[int, tuple[float, WaitingWork]] = {}
        self._ledger = UsageLedger(limits.usage_half_life)
        self._ranks: ServedShares[tuple[int, int]] = ServedShares(
            limits.start_window, limits.served_floor
        )
        self._workspaces: ServedShares[str] = ServedShares(limits.start_window, limits.served_floor)
        self._drained = DecayedSum(limits.start_window)
        self._busy_time = DecayedSum(limits.start_window)
        self._busy_since: float | None = None
        self._return_at = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def copy(
        self,
        streams_elsewhere: Callable[[float], Mapping[str, WorkspaceStreams]] = lambda now: {},
    ) -> WaitingLine:
        """Copies the line for a decision that is not carried out.

        Args:
            streams_elsewhere: Returns the streams at other instances, as for the creation.

        Returns:
            A line that can change without effect on this one.
        """
        shared = (self._streams_elsewhere, *(work for _, work in self._waiting.values()))
        frozen: dict[int, object] = {id(part): part for part in shared}
        copied = deepcopy(self, frozen)
        copied._streams_elsewhere = streams_elsewhere
        return copied

    def on_arrival(self, now: float, work: WaitingWork) -> None:
        """Counts a request that arrived at the instance, before it starts or joins the line.

        Args:
            now: Current time in seconds.
            work: The request.
        """
        if work.has_run:
            return
        self._ranks.on_arrival(now, _rank_of(work))
        if work.workspace:
            self._workspaces.on_arrival(now, work.workspace)

    def join(self, now: float, work: WaitingWork) -> int:
        """Adds a request to the line.

        Args:
            now: Current time in seconds.
            work: The request.

        Returns:
            Its ticket.
        """
        if self._busy_since is None:
            self._busy_since = now
        ticket = next(self._tickets)
        self._waiting[ticket] = (now, work)
        return ticket

    def update(self, ticket: int, work: WaitingWork) -> None:
        """Replaces the description of a waiting request, because estimates have changed.

        Args:
            ticket: Ticket of the request; an unknown one is ignored.
            work: The request as it waits now.
        """
        if ticket in self._waiting:
            self._waiting[ticket] = (self._waiting[ticket][0], work)

    def leave(self, now: float, ticket: int) -> None:
        """Removes a request that starts, is refused, or whose caller left.

        Args:
            now: Current time in seconds.
            ticket: Ticket of the request; an unknown one is ignored.
        """
        self._waiting.pop(ticket, None)
        if not self._waiting:
            self._count_busy_time(now)
            self._busy_since = None

    def on_start(self, now: float, work: WaitingWork) -> None:
        """Counts the start of a request, whether it has waited or not.

        Args:
            now: Current time in seconds.
            work: The request.
        """
        if work.workspace:
            self._ledger.charge(now, work.workspace, work.tokens)
        if not work.has_run:
            self._ranks.on_start(now, _rank_of(work))
            self._workspaces.on_start(now, work.workspace)
        if self._waiting:
            self._drained.add(now, 1.0)

    def next(self, now: float) -> Sequence[int]:
        """Orders the waiting requests.

        Args:
            now: Current time in seconds.

        Returns:
            All tickets, the request that is offered a place first in front.
        """
        key = self._order_key(now)
        return sorted(self._waiting, key=lambda ticket: (*key(self._waiting[ticket][1]), ticket))

    def draw_turns(self, share: float) -> int:
        """Draws how many of the waiting requests are offered a place in this round.

        Load pattern: when a backend server becomes idle, the lines of all instances see it at the
        same time.

        Args:
            share: Share of the waiting requests of all instances that should start.

        Returns:
            Number of requests from the front of the line.
        """
        return sum(self._rng.random() < share for _ in self._waiting)

    def is_preceded(self, now: float, work: WaitingWork) -> bool:
        """Checks whether a request that arrives has to join the line.

        Args:
            now: Current time in seconds.
            work: The request.

        Returns:
            Whether a waiting request goes before it.
        """
        key = self._order_key(now)
        own = key(work)
        return any(key(waiting) < own for _, waiting in self._waiting.values())

    def estimate_wait(
        self, now: float, work: WaitingWork, ahead: int | None = None
    ) -> float | None:
        """Estimates how long a request would wait in the line.

        Args:
            now: Current time in seconds.
            work: The request.
            ahead: Number of waiting requests that go before it, None to count them.

        Returns:
            Seconds, None while the rate at which the line drains is not known.
        """
        rate = self._drain_rate(now)
        if ahead is None:
            key = self._order_key(now)
            own = key(work)
            ahead = sum(key(waiting) < own for _, waiting in self._waiting.values())
        if not ahead:
            return 0.0
        return None if rate is None else ahead / rate

    def is_hopeless(self, now: float, work: WaitingWork, ahead: int | None = None) -> bool:
        """Checks whether a request cannot be served for its caller any more.

        Load pattern: a flood that outlasts the patience of callers. Without this check, most
        requests that end in a refusal are held for half of the time that their callers have.

        What is not known does not count: without a known drain rate, only the time that the
        request itself takes on an idle backend server does.

        Args:
            now: Current time in seconds.
            work: The request.
            ahead: Number of waiting requests that go before it, None to count them.

        Returns:
            Whether it is refused; never for one that may have run.
        """
        if work.has_run:
            return False
        wait = self._limits.assured_wait * (self.estimate_wait(now, work, ahead) or 0.0)
        return now + wait + work.first_event_time >= work.latest_first_event

    def retry_after(self, now: float, backlog_time: float) -> float:
        """Computes when a refused caller should return.

        Load pattern: callers that are refused together return together, and are refused again.
        Each refusal takes the next turn behind the waiting requests and the callers refused
        before, at the rate at which the line drains.

        Args:
            now: Current time in seconds.
            backlog_time: Seconds that the backend servers need for what they have accepted.

        Returns:
            Seconds until the return.
        """
        limits = self._limits
        rate = self._drain_rate(now)
        backlog = backlog_time if rate is None else backlog_time + len(self._waiting) / rate
        earliest = now + backlog
        turn = 0.0 if rate is None else 1.0 / rate
        self._return_at = max(
            earliest, min(self._return_at + turn, now + limits.longest_retry_after)
        )
        delay = (self._return_at - now) * self._rng.uniform(0.5, 1.0)
        return min(limits.longest_retry_after, max(limits.shortest_retry_after, delay))

    def streams(self, now: float) -> dict[str, WorkspaceStreams]:
        """Describes the streams of each workspace to other instances.

        Args:
            now: Current time in seconds.

        Returns:
            Streams by workspace.
        """
        counts = self._workspaces.counts(now)
        names = {*self._ledger.workspaces(), *counts}
        return {
            name: WorkspaceStreams(
                self._ledger.local_usage(now, name), *counts.get(name, (0.0, 0.0))
            )
            for name in names
        }

    def snapshot(self, now: float) -> LineSnapshot:
        """Describes the line to operators.

        Args:
            now: Current time in seconds.

        Returns:
            Length, age and drain rate.
        """
        lengths: dict[int, int] = {}
        for _, work in self._waiting.values():
            lengths[work.rank] = lengths.get(work.rank, 0) + 1
        oldest = min((since for since, _ in self._waiting.values()), default=now)
        return LineSnapshot(lengths, now - oldest, self._drain_rate(now))

    def _order_key(self, now: float) -> Callable[[WaitingWork], tuple[float, ...]]:
        """Returns the sort key of the waiting requests, the lowest is the next one."""
        starved = {
            rank
            for rank in {_rank_of(work) for _, work in self._waiting.values()}
            if self._ranks.is_starved(now, rank)
        }
        weigh = self._workspace_weight(now)

        def key(work: WaitingWork) -> tuple[float, ...]:
            if work.delivered:
                return (0, -work.delivered, work.deadline)
            can_be_on_time = now + work.first_event_time <= work.due_at
            return (
                1,
                _rank_of(work) not in starved,
                not can_be_on_time,
                *_rank_of(work),
                weigh(work.workspace),
                work.deadline,
            )

        return key

    def _workspace_weight(self, now: float) -> Callable[[str], int]:
        """Returns a function that finds the class of a workspace within its rank.

        The lowest class goes first. Load pattern: a workspace that is heavy in the data centre
        looks like the others at an instance that has started one of its streams.
        """
        elsewhere = self._streams_elsewhere(now)
        own = self._ledger.workspaces()
        total = self._ledger.mean_usage(now) * len(own)
        total += sum(part.tokens for part in elsewhere.values())
        heavy = self._limits.heavy_usage * total / max(1, len({*own, *elsewhere}))
        counts = CountsElsewhere.sum(
            {name: (part.arrived, part.started) for name, part in elsewhere.items()}
        )

        def weigh(workspace: str) -> int:
            if not workspace:
                return 1
            if self._workspaces.is_starved(now, workspace, counts):
                return 0
            usage = self._ledger.usage(now, workspace)
            if workspace in elsewhere:
                usage += elsewhere[workspace].tokens
            return 2 if usage > heavy else 1

        return weigh

    def _drain_rate(self, now: float) -> float | None:
        """Estimates the starts per second while the line is not empty, None if unknown."""
        self._count_busy_time(now)
        starts = self._drained.value(now)
        busy_time = self._busy_time.value(now)
        if starts < self._limits.min_starts or busy_time <= 0.0:
            return None
        return starts / busy_time

    def _count_busy_time(self, now: float) -> None:
        """Adds the time during which the line was not empty."""
        if self._busy_since is not None and now > self._busy_since:
            self._busy_time.add(now, now - self._busy_since)
            self._busy_since = now


def _rank_of(work: WaitingWork) -> tuple[int, int]:
    """Returns the priority of a request, the lowest goes first."""
    return work.rank, work.route_rank
