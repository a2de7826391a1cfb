"""Wait for an asyncio event with a timeout."""

from __future__ import annotations

import asyncio

__all__ = ["is_set_within"]


async def is_set_within(event: asyncio.Event, limit: float) -> bool:
    """Waits until an event is set or the timeout expires.

    Args:
        event: Event to wait for.
        limit: Timeout in seconds.

    Returns:
        Whether the event was set in time.
    """
    try:
        async with asyncio.timeout(limit):
            return await event.wait()
    except TimeoutError:
        return False
