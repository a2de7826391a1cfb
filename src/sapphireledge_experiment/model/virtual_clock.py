"""Clock and queue of events of the model."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["VirtualClock"]


class VirtualClock:
    """Runs callbacks in order of their time, and in order of scheduling at the same time."""

    def __init__(self) -> None:
        self.now = 0.0
        """Current time in seconds."""

        self.events = 0
        """Number of callbacks that have run."""

        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedules a callback.

        Args:
            time: Time in seconds; one in the past runs next.
            callback: Function to call.
        """
        heapq.heappush(self._queue, (max(time, self.now), next(self._numbers), callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay.

        Args:
            delay: Delay in seconds.
            callback: Function to call.
        """
        self.at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Runs callbacks until a time.

        Args:
            until: Time in seconds at which the clock stops.
        """
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._queue)
            self.events += 1
            callback()
        self.now = max(self.now, until)
