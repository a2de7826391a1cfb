"""Periodic polling of the cache events of one engine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from sapphireledge.backends.call_failure import CallFailure

if TYPE_CHECKING:
    from sapphireledge.backends.cache_page import CachePage
    from sapphireledge.backends.engine_client import EngineClient

__all__ = ["CacheEventPoller"]


class CacheEventPoller:
    """Polls the cache events of one engine and passes them to a callback."""

    def __init__(
        self, client: EngineClient, interval: float, on_page: Callable[[CachePage], None]
    ) -> None:
        """Creates a poller; `run` starts it.

        Args:
            client: Client of the engine.
            interval: Seconds between the starts of two polls.
            on_page: Called with each page that has events or follows a gap; its `lost` is true if
                events before it are missing or the engine restarted.
        """
        self._client = client
        self._interval = interval
        self._on_page = on_page
        self._boot_id = ""
        self._last_sequence = 0

    async def run(self) -> None:
        """Polls until its task is cancelled."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            await self.poll()
            due = max(due + self._interval, loop.time())
            await asyncio.sleep(due - loop.time())

    async def poll(self) -> None:
        """Reads one page; a failed poll changes nothing."""
        page = await self._client.cache_events(self._last_sequence)
        if isinstance(page, CallFailure):
            return
        restarted = page.boot_id != self._boot_id
        if restarted and self._last_sequence:
            # The sequence number belongs to the previous engine process.
            self._last_sequence = 0
            page = await self._client.cache_events(0)
            if isinstance(page, CallFailure):
                return
        lost = (restarted and bool(self._boot_id)) or page.oldest > self._last_sequence + 1
        self._boot_id = page.boot_id
        self._last_sequence = max([self._last_sequence, *(event.sequence for event in page.events)])
        if page.events or lost:
            self._on_page(replace(page, lost=lost))
