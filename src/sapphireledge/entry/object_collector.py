"""Deletion of expired objects from the platform."""

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
"""Number of objects per page of a listing."""

DELETE_INTERVAL = 0.2
"""Seconds between deletions by one instance."""


class ObjectCollector:
    """Deletes expired objects under a prefix whose keys sort by time.

    Every instance runs a collector, with a jittered interval that grows with their number. If
    another instance deletes an object first, the deletion fails harmlessly with a conflict.
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
            prefix: Key prefix of the objects.
            is_expired: Whether an object may be deleted at a time in Unix seconds.
            interval: Returns the mean seconds between collections.
            rng: Random number generator for jitter.
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
        """Deletes the expired objects, oldest first.

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
