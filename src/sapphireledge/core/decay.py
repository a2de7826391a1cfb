"""Arithmetic on exponentially decaying amounts."""

from __future__ import annotations

from math import exp, inf, log2

__all__ = ["ZERO_LEVEL", "DecayedSum", "amount_from_level", "level_from_amount"]

ZERO_LEVEL = -inf
"""Level of an amount of 0."""


def level_from_amount(now: float, amount: float, half_life: float) -> float:
    """Converts a decaying amount to its level.

    The level is the base-2 logarithm of the amount plus the time in half-lives. It stays constant
    while the amount decays, so one float represents the amount at any time, and a heap ordered by
    level stays valid until an amount is changed explicitly.

    Args:
        now: Current time in seconds.
        amount: Amount at that time.
        half_life: Half-life in seconds.

    Returns:
        The level; `ZERO_LEVEL` for an amount of 0 or less.
    """
    return log2(amount) + now / half_life if amount > 0.0 else ZERO_LEVEL


def amount_from_level(now: float, level: float, half_life: float) -> float:
    """Converts a level to the amount at a given time.

    Args:
        now: Time in seconds at which the amount is wanted.
        level: Result of `level_from_amount`.
        half_life: Half-life in seconds.

    Returns:
        The amount.
    """
    return 2.0 ** (level - now / half_life)


class DecayedSum:
    """Sum whose past additions decay exponentially, with a time constant in seconds."""

    __slots__ = ("_amount", "_updated_at", "_window")

    def __init__(self, window: float):
        self._window = window
        self._amount = 0.0
        self._updated_at = 0.0

    def add(self, now: float, amount: float) -> None:
        """Adds an amount.

        Args:
            now: Current time in seconds.
            amount: Amount to add; may be negative.
        """
        self._amount = self.value(now) + amount
        self._updated_at = max(now, self._updated_at)

    def value(self, now: float) -> float:
        """Returns the current sum.

        Args:
            now: Current time in seconds.

        Returns:
            The decayed sum.
        """
        return self._amount * exp(min(0.0, self._updated_at - now) / self._window)

    def rate(self, now: float) -> float:
        """Returns the sum as a rate.

        Args:
            now: Current time in seconds.

        Returns:
            Amount per second, averaged over the window.
        """
        return self.value(now) / self._window
