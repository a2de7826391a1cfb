"""Part of a memory budget that one buffer takes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.limits.buffer_budget import BufferBudget

__all__ = ["BufferShare"]

FREE_BYTES = 16_384
"""Bytes that each buffer may hold in any case. Otherwise a few peers that send large messages
without end would leave no memory for the small ones of all others."""


class BufferShare:
    """Part of a budget that one buffer takes; only what exceeds FREE_BYTES counts."""

    __slots__ = ("_budget", "_taken")

    def __init__(self, budget: BufferBudget) -> None:
        """Creates the share of an empty buffer.

        Args:
            budget: Budget of all buffers of this purpose.
        """
        self._budget = budget
        self._taken = 0

    def try_resize(self, size: int) -> bool:
        """Takes what a new size of the buffer needs, or gives back what it does not need.

        Args:
            size: Size of the buffer in bytes.

        Returns:
            Whether the size is permitted; otherwise the share is unchanged.
        """
        taken = max(0, size - FREE_BYTES)
        if taken > self._taken:
            if not self._budget.try_take(taken - self._taken):
                return False
        elif taken < self._taken:
            self._budget.give_back(self._taken - taken)
        self._taken = taken
        return True

    def hold(self, size: int) -> None:
        """Takes what a buffer needs that is in memory already, even if the budget has no room.

        Args:
            size: Size of the buffer in bytes.
        """
        taken = max(0, size - FREE_BYTES)
        self._budget.take(taken - self._taken)
        self._taken = taken

    def release(self) -> None:
        """Gives back all that was taken."""
        self.try_resize(0)
