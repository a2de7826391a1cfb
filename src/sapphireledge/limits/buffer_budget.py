"""Limit on the memory of buffers that belong to different connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["BufferBudget"]


class BufferBudget:
    """Bytes that all buffers of one purpose may hold together."""

    __slots__ = ("_free", "_limit", "on_short")

    def __init__(self, limit: int) -> None:
        """Creates a budget of which nothing is taken.

        Args:
            limit: Bytes that may be taken.
        """
        self._limit = limit
        self._free = limit
        self.on_short: Callable[[int], None] = lambda size: None
        """Called with a number of bytes that are missing; may make others give back theirs."""

    def resize(self, limit: int) -> None:
        """Changes the limit.

        Args:
            limit: Bytes that may be taken.
        """
        self._free += limit - self._limit
        self._limit = limit

    def take(self, size: int) -> None:
        """Takes a part of the budget for bytes that are in memory already, even if none is free.

        Args:
            size: Bytes.
        """
        self._free -= size

    def try_take(self, size: int) -> bool:
        """Takes a part of the budget.

        Args:
            size: Bytes.

        Returns:
            Whether the bytes were free; otherwise nothing is taken.
        """
        if size > self._free:
            self.on_short(size - self._free)
            if size > self._free:
                return False
        self._free -= size
        return True

    def give_back(self, size: int) -> None:
        """Returns a part of the budget.

        Args:
            size: Bytes that were taken.
        """
        self._free += size
