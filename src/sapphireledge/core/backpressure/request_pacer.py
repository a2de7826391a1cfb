"""Spreads the requests of one instance to one server evenly over time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from sapphireledge.core.backpressure.backpressure_limits import BackpressureLimits

__all__ = ["RequestPacer"]


class RequestPacer:
    """Grants one slot per interval, each of which expires if it is not used.

    The first slot of each instance lies at a random time within the interval, so that the slots of
    many instances are spread although they do not know of each other.
    """

    __slots__ = ("_interval", "_limits", "_rng", "_slot_at")

    def __init__(self, limits: BackpressureLimits, rng: Random) -> None:
        """Creates a pacer without a rate, which grants every request at once.

        Args:
            limits: Limits.
            rng: Source of the time of the first slot.
        """
        self._limits = limits
        self._rng = rng
        self._interval: float | None = None
        self._slot_at = 0.0

    def set_rate(self, now: float, rate: float | None) -> None:
        """Sets the rate of this instance.

        Args:
            now: Current time in seconds.
            rate: Requests per second, more than 0, or None for no limit.
        """
        before = self._interval
        self._interval = None if rate is None else 1.0 / rate
        if self._interval is None or self._interval == before:
            return
        if before is None:
            self._slot_at = now + self._rng.uniform(0.0, self._interval)
        elif self._slot_at > now:
            self._slot_at = now + (self._slot_at - now) * self._interval / before

    def next_at(self, now: float) -> float:
        """Computes when the next request may be sent.

        Args:
            now: Current time in seconds.

        Returns:
            Time in seconds, at least `now`.
        """
        if self._interval is None:
            return now
        expired = now - self._limits.burst_time - self._slot_at
        if expired > 0.0:
            self._slot_at += math.ceil(expired / self._interval) * self._interval
        return max(now, self._slot_at)

    def take(self, now: float) -> None:
        """Uses the next slot, which may lie in the future.

        Args:
            now: Current time in seconds.
        """
        self.next_at(now)
        if self._interval is not None:
            self._slot_at += self._interval
