"""Sequence slots of the engine stand-in."""

from __future__ import annotations

import asyncio
import heapq

__all__ = ["SlotQueue"]


class SlotQueue:
    """Fixed number of slots, granted by priority and then in order of arrival."""

    def __init__(self, slots: int) -> None:
        """Creates the given number of free slots."""
        self._free_slots = slots
        self._arrivals = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def queued(self) -> int:
        """Number of sequences waiting for a slot."""
        return sum(not entry[2].done() for entry in self._waiting)

    async def acquire(self, priority: int) -> None:
        """Waits for a slot and takes it; priority 0 is the most urgent."""
        if self._free_slots > 0:
            self._free_slots -= 1
            return
        grant = asyncio.get_running_loop().create_future()
        self._arrivals += 1
        heapq.heappush(self._waiting, (priority, self._arrivals, grant))
        try:
            await grant
        except asyncio.CancelledError:
            if grant.done() and not grant.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Passes a slot to the next waiting sequence, or frees it if none waits."""
        while self._waiting:
            grant = heapq.heappop(self._waiting)[2]
            if not grant.done():
                grant.set_result(None)
                return
        self._free_slots += 1
