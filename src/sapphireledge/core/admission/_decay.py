"""Arithmetic of decayed sums."""

from __future__ import annotations

from math import exp, inf, log2

__all__ = ["ZERO_LEVEL", "DecayedSum", "amount_from_level", "level_from_amount"]

ZERO_LEVEL = -inf
"""Level of a usage of 0."""


def level_from_amount(now: float, amount: float, half_life: float) -> float:
    """Converts a decaying amount to its level.

    The level is the base-2 logarithm of the amount plus the time in half lives. It does not change
    while the amount decays, so one float stores an amount for all times, and a heap ordered by
    level stays valid while nothing is added.

    Args:
        now: Time in seconds.
        amount: Amount at that time.
        half_life: Half life in seconds.

    Returns:
        The level; `NEVER` for an amount of 0 or less.
    """
    return log2(amount) + now / half_life if amount > 0.0 else ZERO_LEVEL


def amount_from_level(now: float, level: float, half_life: float) -> float:
    """Converts a level to the amount at a time.

    Args:
        now: Time in seconds.
        level: Result of `level_of`.
        half_life: Half life in seconds.

    Returns:
        The amount.
    """
    return 2.0 ** (level - now / half_life)


class DecayedSum:
    """Sum that forgets its past with a time constant."""

    __slots__ = ("_amount", "_at", "_window")

    def __init__(self, window: float):
        self._window = window
        self._amount = 0.0
        self._at = 0.0

    def add(self, now: float, amount: float) -> None:
        """Adds an amount.

        Args:
            now: Time in seconds.
            amount: What is added.
        """
        self._amount = self.value(now) + amount
        self._at = max(now, self._at)

    def value(self, now: float) -> float:
        """Reads the sum.

        Args:
            now: Time in seconds.

        Returns:
            The decayed sum.
        """
        return self._amount * exp(min(0.0, self._at - now) / self._window)

    def rate(self, now: float) -> float:
        """Reads the sum as a rate.

        Args:
            now: Time in seconds.

        Returns:
            Amount per second over the window.
        """
        return self.value(now) / self._window
