"""Slots of the engine stand-in."""

from __future__ import annotations

import asyncio
import heapq

__all__ = ["SlotQueue"]


class SlotQueue:
    """A number of slots, given out in the order of priority and arrival."""

    def __init__(self, slots: int) -> None:
        """Creates free slots."""
        self._free_slots = slots
        self._arrivals = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def queued(self) -> int:
        """Number of waiting sequences."""
        return sum(not entry[2].done() for entry in self._waiting)

    async def acquire(self, priority: int) -> None:
        """Waits for a slot; 0 is the most urgent priority."""
        if self._free_slots > 0:
            self._free_slots -= 1
            return
        granted = asyncio.get_running_loop().create_future()
        self._arrivals += 1
        heapq.heappush(self._waiting, (priority, self._arrivals, granted))
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Gives a slot to the next waiting sequence."""
        while self._waiting:
            granted = heapq.heappop(self._waiting)[2]
            if not granted.done():
                granted.set_result(None)
                return
        self._free_slots += 1
