"""Wait for an asyncio event with a timeout."""

from __future__ import annotations

import asyncio

__all__ = ["wait_for_event"]


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
