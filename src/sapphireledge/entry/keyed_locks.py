"""Locks identified by a key."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["KeyedLocks"]


class KeyedLocks:
    """Locks identified by a key; a lock exists only while a task holds it or waits for it."""

    def __init__(self) -> None:
        """Creates an empty collection."""
        self._locks: dict[str, tuple[asyncio.Lock, int]] = {}

    @asynccontextmanager
    async def hold(self, name: str) -> AsyncIterator[None]:
        """Acquires the lock of a key for the duration of a `with` block.

        Args:
            name: Key of the lock.

        Yields:
            Nothing, while the lock is held.
        """
        lock, users = self._locks.get(name, (asyncio.Lock(), 0))
        self._locks[name] = lock, users + 1
        try:
            async with lock:
                yield
        finally:
            lock, users = self._locks[name]
            if users == 1:
                del self._locks[name]
            else:
                self._locks[name] = lock, users - 1
