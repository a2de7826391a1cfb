"""Limits how long one connection keeps the event loop.

Load pattern: peers that send small pieces faster than they are parsed. A read of bytes that have
already arrived does not suspend its task, so without a limit no other task and no timeout runs
until all of them are parsed.
"""

from __future__ import annotations

import asyncio
from time import monotonic
from weakref import WeakKeyDictionary

__all__ = ["TimeSlice"]

SLICE = 0.005
"""Seconds that a task may process the bytes of one connection without waiting for more."""

REST = 0.005
"""Seconds between the slices of all connections that have used up theirs, so that they take at most
half of the event loop, however many they are."""

_turns: WeakKeyDictionary[asyncio.AbstractEventLoop, asyncio.Lock] = WeakKeyDictionary()
"""Lock of each event loop, held by the connection whose next slice is due."""


class TimeSlice:
    """Time slice of one connection.

    Call `restart` after each wait for bytes, and `checkpoint` before each step that may run without
    a wait. Connections that have used up their slices take turns in the order in which they did.
    """

    __slots__ = ("_started",)

    def __init__(self) -> None:
        self._started = monotonic()

    def restart(self) -> None:
        """Starts a slice, because the task has waited."""
        self._started = monotonic()

    async def checkpoint(self) -> None:
        """Lets other tasks run if the slice is used up."""
        if monotonic() - self._started >= SLICE:
            await self.take_turn()

    async def take_turn(self) -> None:
        """Waits for a turn among the connections that take more of the event loop than others."""
        loop = asyncio.get_running_loop()
        turn = _turns.get(loop)
        if turn is None:
            turn = _turns[loop] = asyncio.Lock()
        async with turn:
            await asyncio.sleep(REST)
        self._started = monotonic()
