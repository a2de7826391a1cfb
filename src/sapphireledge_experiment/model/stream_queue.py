"""Admission of streams at one instance in the order of the rank scheduler."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from sapphireledge.core.admission import (
    Capacity,
    DroppedWork,
    QueuedWork,
    RankScheduler,
    divide_capacity,
)
from sapphireledge.core.declarations import Rank
from sapphireledge.entry.backend_pool import ADMIT_INTERVAL
from sapphireledge.errors import Failure
from sapphireledge.gateway.engine_views import RECENT_DISPATCH_WINDOW

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge_experiment.model.modelled_request import ModelledRequest
    from sapphireledge_experiment.model.queue_owner import QueueOwner

__all__ = ["StreamQueue"]


class StreamQueue:
    """Lets streams start in the order of `RankScheduler`, as far as engines have free slots.

    The order of the steps is that of `BackendPool`; each decision is the one that it calls.
    """

    def __init__(self, instance: QueueOwner) -> None:
        """Creates an empty queue.

        Args:
            instance: The instance; its registry lists the engines.
        """
        self._instance = instance
        self._world = instance.world
        self._clock = instance.world.clock
        self._scheduler = RankScheduler(_list_ranks(instance), instance.world.policy.admission)
        self._work_ids = count()
        self._waiting: dict[str, tuple[Callable[[], None], Callable[[float], None]]] = {}
        self._is_scheduled = False

    @property
    def is_empty(self) -> bool:
        """Whether no stream waits or runs."""
        return not any(load.running or load.queued for load in self._scheduler.loads())

    def offer(
        self,
        request: ModelledRequest,
        on_admitted: Callable[[], None],
        on_dropped: Callable[[float], None],
    ) -> str | Failure:
        """Admits a stream to the queue or refuses it at once.

        Args:
            request: The request.
            on_admitted: Called when the stream may start.
            on_dropped: Called with the seconds after which the caller may return, if the stream is
                refused later.

        Returns:
            Identifier of the work for the other methods, or the reason to refuse it.
        """
        now = self._clock.now
        work = QueuedWork(
            work_id=str(next(self._work_ids)),
            rank=str(request.kind.rank),
            workspace=f"{request.kind.name}/{request.workspace}",
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens - request.delivered * request.event_tokens,
            deadline=min(request.leaves_at, request.deadline),
            delivered=request.delivered * request.event_tokens,
        )
        admitted = self._scheduler.offer(now, work)
        if isinstance(admitted, Failure):
            return admitted
        self._waiting[work.work_id] = on_admitted, on_dropped
        self._clock.after(0.0, self._admit)
        return work.work_id

    def on_event(self, work_id: str, tokens: int) -> None:
        """Counts the tokens of an event."""
        now = self._clock.now
        self._scheduler.on_started(now, work_id)
        self._scheduler.on_consumed(now, work_id, tokens)

    def end(self, work_id: str) -> None:
        """Ends work that waits or runs; unknown work is ignored."""
        self._waiting.pop(work_id, None)
        self._scheduler.withdraw(work_id)

    def _admit(self) -> None:
        """Starts the streams for which there is capacity, and comes back while others wait."""
        if self._instance.is_dead:
            return
        running = sum(load.running for load in self._scheduler.loads())
        instances = self._world.count_instances()
        capacity = divide_capacity(self._observe_capacity(), instances, running)
        for item in self._scheduler.next(self._clock.now, capacity):
            work = item.work if isinstance(item, DroppedWork) else item
            on_admitted, on_dropped = self._waiting.pop(work.work_id)
            if isinstance(item, DroppedWork):
                on_dropped(item.failure.retry_after or 0.0)
            else:
                on_admitted()
        if self._scheduler.queued and not self._is_scheduled:
            self._is_scheduled = True
            self._clock.after(ADMIT_INTERVAL, self._admit_again)

    def _admit_again(self) -> None:
        """Admits after an interval."""
        self._is_scheduled = False
        self._admit()

    def _observe_capacity(self) -> Capacity:
        """Adds up the slots that the engines reported."""
        instance, total, free = self._instance, 0, 0
        for name, engine in self._world.list_living_engines():
            if not instance.registry.admits(self._clock.now, name):
                continue
            waiting, _, running, _ = engine.report
            recent = instance.count_dispatches(name, RECENT_DISPATCH_WINDOW)
            total += engine.cfg.slots
            free += max(0, engine.cfg.slots - waiting - running - recent)
        return Capacity(free, total)


def _list_ranks(instance: QueueOwner) -> dict[str, Rank]:
    """Declares the ranks of the kinds of streams; all of them accept late answers."""
    kinds = [kind for kind in instance.world.experiment.kinds if kind.is_stream]
    return {
        str(kind.rank): Rank(str(kind.rank), kind.rank, target=kind.target, late=True)
        for kind in kinds
    }
