"""Wait for an event with a time limit."""

from __future__ import annotations

import asyncio

__all__ = ["is_set_within"]


async def is_set_within(event: asyncio.Event, limit: float) -> bool:
    """Waits until an event is set.

    Args:
        event: The event.
        limit: Longest wait in seconds.

    Returns:
        Whether it was set in time.
    """
    try:
        async with asyncio.timeout(limit):
            return await event.wait()
    except TimeoutError:
        return False
