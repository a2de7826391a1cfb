"""Deletes objects whose declared time has passed."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sapphireledge.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sapphireledge.objects import ObjectStore, StoredObject

__all__ = ["ObjectCollector"]

PAGE_SIZE = 50
"""Objects listed at once."""

DELETE_INTERVAL = 0.2
"""Seconds between two deletions of one instance."""


class ObjectCollector:
    """Deletes old objects below a prefix whose keys sort by time.

    Every instance collects; the jittered interval grows with their number, and a deletion that
    another instance made first is a conflict without harm.
    """

    def __init__(
        self,
        store: ObjectStore,
        prefix: str,
        is_expired: Callable[[StoredObject, float], bool],
        interval: Callable[[], float],
        rng: Random,
    ) -> None:
        """Creates the collector; `run` starts it.

        Args:
            store: The platform's object API.
            prefix: Start of the keys.
            is_old: Whether an object may go at a time in Unix seconds.
            interval: Mean seconds between two looks.
            rng: Random source of the jitter.
        """
        self._store = store
        self._prefix = prefix
        self._is_expired = is_expired
        self._interval = interval
        self._rng = rng

    async def run(self) -> None:
        """Collects until the task is cancelled."""
        while True:
            await asyncio.sleep(self._interval() * self._rng.uniform(0.5, 1.5))
            await self.collect()

    async def collect(self) -> int:
        """Deletes old objects from the start of the prefix.

        Returns:
            Number of deletions.
        """
        deleted = 0
        while True:
            page = await self._store.list(self._prefix, "", PAGE_SIZE)
            if isinstance(page, Failure):
                return deleted
            expired = [found for found in page.objects if self._is_expired(found, time.time())]
            for found in expired:
                await self._store.delete(found.key, found.version)
                deleted += 1
                await asyncio.sleep(DELETE_INTERVAL)
            if not expired or len(expired) < len(page.objects):
                return deleted
