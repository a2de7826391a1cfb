"""Waits for asyncio events with a timeout."""

from __future__ import annotations

import asyncio

__all__ = ["wait_for_arrival", "wait_for_event"]

READ_PASSES = 2
"""Passes of the event loop after which it has read what had arrived when a timer fired: sockets are
polled in the first of them and read in the second."""


async def wait_for_event(event: asyncio.Event, timeout: float) -> bool:
    """Waits until an event is set or the timeout expires.

    Args:
        event: Event to wait for.
        timeout: Timeout in seconds.

    Returns:
        Whether the event was set in time.
    """
    try:
        async with asyncio.timeout(timeout):
            return await event.wait()
    except TimeoutError:
        return False


async def wait_for_arrival(arrived: asyncio.Event, deadline: float) -> bool:
    """Waits until bytes arrive on a connection or a deadline passes.

    After a pass of the event loop that took long, timers fire before bytes that arrived in time
    have been read or have woken their task. These bytes count.

    Args:
        arrived: Set by the transport when it has read bytes.
        deadline: Event loop time in seconds.

    Returns:
        Whether bytes arrived in time.
    """
    try:
        async with asyncio.timeout_at(deadline):
            return await arrived.wait()
    except TimeoutError:
        for _ in range(READ_PASSES):
            if not arrived.is_set():
                await asyncio.sleep(0)
        return arrived.is_set()
