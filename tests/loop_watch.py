"""Measures for how long an event loop is kept by its own work."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

SCHEDULER_STATISTICS = Path("/proc/thread-self/schedstat")
"""Statistics of the calling thread; the second number is the time in nanoseconds for which it was
ready to run and the processor ran others."""


def own_time() -> float:
    """Returns a clock in seconds that stands still while the machine runs others instead.

    Unlike the processor time of the thread, it counts the time for which the thread blocks. Where
    the system keeps no such statistics, nothing is left out.
    """
    now = time.monotonic()
    try:
        fields = SCHEDULER_STATISTICS.read_text(encoding="ascii").split()
    except OSError:
        return now
    return now - int(fields[1]) / 1e9


class LoopWatch:
    """Measures the longest time for which the event loop was not available."""

    def __init__(self) -> None:
        self.longest = 0.0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            started = own_time()
            await asyncio.sleep(0.001)
            self.longest = max(self.longest, own_time() - started)

    def stop(self) -> float:
        """Stops measuring; returns the longest time in seconds."""
        self._task.cancel()
        return self.longest
