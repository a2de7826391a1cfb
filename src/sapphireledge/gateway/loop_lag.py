"""Notices when the event loop was held up."""

from __future__ import annotations

import asyncio

__all__ = ["LoopLag"]

STEP = 0.02
"""Seconds between two checks."""

MAX_LAG = 0.03
"""Seconds by which a check may be late. An instance that is short of processor time is late for
all requests in flight at once, which looks like slow answers of their servers."""


class LoopLag:
    """Notices when the event loop was held up, so that times measured meanwhile are not used."""

    def __init__(self) -> None:
        self._checked_at = float("inf")
        self._late_at = float("-inf")

    async def sleep(self, seconds: float) -> None:
        """Sleeps and checks meanwhile whether the event loop is late.

        Args:
            seconds: Time to sleep, at least.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while (started := loop.time()) < end:
            self._checked_at = started
            await asyncio.sleep(STEP)
            if loop.time() - started > STEP + MAX_LAG:
                self._late_at = loop.time()

    def was_late(self, since: float) -> bool:
        """Whether the event loop was held up.

        Args:
            since: Event loop time in seconds from which it counts.

        Returns:
            Whether it was.
        """
        # After a delay, a response may be handled before the check that is late.
        overdue = asyncio.get_running_loop().time() - self._checked_at
        return self._late_at >= since or overdue > STEP + MAX_LAG
