"""Baseline for comparisons: least connections in arrival order, without ranks or shares.

The classes implement those methods of the scheduler and the router that the benchmarks call.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from sapphireledge.core.admission import Admitted
from sapphireledge.core.routing import RouteChoice
from sapphireledge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from random import Random

    from sapphireledge.core.admission import Capacity, QueuedWork
    from sapphireledge.core.routing import BackendView, RouteRequest

__all__ = ["ArrivalOrderScheduler", "LeastConnectionsRouter"]


class ArrivalOrderScheduler:
    """Dispatches work in arrival order, regardless of rank, workspace or deadline."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[str, QueuedWork] = OrderedDict()

    def offer(self, now: float, work: QueuedWork) -> Admitted:
        self._waiting[work.work_id] = work
        return Admitted(0.0, float("inf"))

    def next(self, now: float, free: Capacity) -> list[QueuedWork]:
        count = min(max(0, free.free), len(self._waiting))
        return [self._waiting.popitem(last=False)[1] for _ in range(count)]

    def withdraw(self, work_id: str) -> bool:
        return self._waiting.pop(work_id, None) is not None

    def on_started(self, now: float, work_id: str) -> None:
        pass

    def on_consumed(self, now: float, work_id: str, tokens: int) -> None:
        pass

    def on_ended(self, now: float, work_id: str) -> None:
        pass


class LeastConnectionsRouter:
    """Picks the live backend server with the fewest requests of this entry, by a full scan."""

    def choose(
        self, now: float, request: RouteRequest, view: BackendView, rng: Random
    ) -> RouteChoice | Failure:
        best = None
        for state in view.states():
            if state.leaving or state.unreachable_since is not None or state.report is None:
                continue
            if best is None or len(state.in_flight) < len(best.in_flight):
                best = state
        if best is None:
            return Failure(ErrorKind.NO_BACKEND, "no backend server is live")
        instance = best.instance
        return RouteChoice(instance.name, instance.address, best.boot_id, len(best.in_flight))
