"""Locks by name."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["KeyedLocks"]


class KeyedLocks:
    """Locks by name that take no memory while nobody holds them."""

    def __init__(self) -> None:
        """Creates no lock yet."""
        self._locks: dict[str, tuple[asyncio.Lock, int]] = {}

    @asynccontextmanager
    async def hold(self, name: str) -> AsyncIterator[None]:
        """Waits for the lock of a name and holds it.

        Args:
            name: The name.

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
