"""Measures for how long the store was away, from the calls on all connections to it."""

from __future__ import annotations

import asyncio
from collections import deque

from sapphireledge.gateway import seconds_since_boot, wait_for_event

__all__ = ["StorePresence"]

MAX_GAPS = 64
"""Number of latest gaps that are kept; a call rarely lasts as long as a few of them."""


class StorePresence:
    """Times of successful calls, shared by all watchers of an instance.

    A connection that has stalled looks like a store that is away. Successes on other connections
    show that the store was there.
    """

    def __init__(self) -> None:
        self._last_success = seconds_since_boot()
        self._gaps: deque[tuple[float, float]] = deque(maxlen=MAX_GAPS)
        self._succeeded = asyncio.Event()

    def on_success(self, now: float) -> None:
        """Records a successful call.

        Args:
            now: Time in seconds, as returned by `seconds_since_boot`.
        """
        self._gaps.append((now, now - self._last_success))
        self._last_success = now
        self._succeeded.set()
        self._succeeded = asyncio.Event()

    async def wait_for_success(self, timeout: float) -> None:
        """Waits until a call on any connection succeeds or the timeout expires.

        Args:
            timeout: Timeout in seconds.
        """
        await wait_for_event(self._succeeded, timeout)

    def longest_gap(self, since: float) -> float:
        """Computes the longest time without a success.

        Args:
            since: Only gaps that ended after this time count.

        Returns:
            Seconds, 0 if there is no gap.
        """
        return max((gap for ended_at, gap in self._gaps if ended_at > since), default=0.0)
