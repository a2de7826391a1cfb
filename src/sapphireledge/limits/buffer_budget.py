"""Limit on the memory of buffers that belong to different connections."""

from __future__ import annotations

__all__ = ["BufferBudget"]


class BufferBudget:
    """Bytes that all buffers of one purpose may hold together."""

    __slots__ = ("_free",)

    def __init__(self, limit: int) -> None:
        """Creates a budget of which nothing is taken.

        Args:
            limit: Bytes that may be taken.
        """
        self._free = limit

    def try_take(self, size: int) -> bool:
        """Takes a part of the budget.

        Args:
            size: Bytes.

        Returns:
            Whether the bytes were free; otherwise nothing is taken.
        """
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
