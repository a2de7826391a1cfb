"""Event loop whose clock moves only while nothing else is left to do.

A test whose peers all run in its own event loop takes the same time by that clock, however long the
machine keeps the process waiting. The clock that counts from the boot follows it. Not for tests in
which other clocks matter, such as the time of day.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from unittest import mock

GRACE = 0.05
"""Seconds of real time for which bytes under way may arrive before the clock moves on."""


class _ClockSelector(selectors.DefaultSelector):
    """Moves a clock by the time for which it was asked to wait, instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        events = super().select(0)
        if events or (timeout is not None and timeout <= 0):
            return events
        if timeout is None:
            return super().select(None)
        events = super().select(min(timeout, GRACE))
        if not events:
            self.now += timeout
        return events


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Event loop with a clock of its own, which starts at 0."""

    def __init__(self) -> None:
        self._clock = _ClockSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Returns the time in seconds."""
        return self._clock.now


class _VirtualClockPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates event loops with a clock of their own."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Creates an event loop."""
        return VirtualClockLoop()


_clock_gettime = time.clock_gettime


def _read_clock(clock: int) -> float:
    """Reads a clock of the system; the one that counts from the boot is that of the event loop."""
    if clock != time.CLOCK_BOOTTIME:
        return _clock_gettime(clock)
    return asyncio.get_running_loop().time()


class VirtualClock:
    """Mixin of asynchronous test cases that runs their tests by the clock of their event loop."""

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        asyncio.set_event_loop_policy(_VirtualClockPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)
        cls.enterClassContext(mock.patch("time.clock_gettime", _read_clock))
