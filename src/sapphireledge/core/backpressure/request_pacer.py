"""Spreads the requests of one instance to one server evenly over time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from sapphireledge.core.backpressure.backpressure_limits import BackpressureLimits

__all__ = ["RequestPacer"]

SHARED_CONTACTS = 0.5
"""Mean intervals between two contacts for which an unused slot of a higher rate can be used. Of
several servers that an instance hears from, at most one gets its request."""

KEPT_CONTACTS = 2.0
"""Mean intervals between two contacts with a server for which an unused slot of a low rate can be
used. At random times, a contact comes within one of them in 63% of the cases, within two in 86%."""


class RequestPacer:
    """Grants one slot per interval, each of which expires if it is not used.

    The first slot of each instance lies at a random time within the interval, so that the slots of
    many instances are spread although they do not know of each other.
    """

    __slots__ = ("_burst_time", "_interval", "_limits", "_rng", "_slot_at")

    def __init__(self, limits: BackpressureLimits, rng: Random) -> None:
        """Creates a pacer without a rate, which grants every request at once.

        Args:
            limits: Limits.
            rng: Source of the time of the first slot.
        """
        self._limits = limits
        self._rng = rng
        self._interval: float | None = None
        self._burst_time = limits.burst_time
        self._slot_at = 0.0

    def set_rate(
        self, now: float, rate: float | None, instances: int, contact_interval: float = 0.0
    ) -> None:
        """Sets the rate of the server, of which this instance uses an equal share.

        Args:
            now: Current time in seconds.
            rate: Requests per second of all instances, more than 0, or None for no limit.
            instances: Number of instances, at least 1.
            contact_interval: Mean seconds between two contacts of this instance with the server.
        """
        before = self._interval
        self._interval = None if rate is None else instances / rate
        if rate is None or self._interval is None:
            return
        contact_interval = min(contact_interval, self._interval)
        if rate < self._limits.sparse_rate:
            kept_time = KEPT_CONTACTS * contact_interval
        elif self._interval > self._limits.sparse_interval:
            kept_time = SHARED_CONTACTS * contact_interval
        else:
            kept_time = contact_interval = 0.0
        self._burst_time = max(self._limits.burst_time, kept_time)
        if self._interval == before:
            return
        if before is None:
            # The latest slot may lie before this response, as if the rate had been known before.
            self._slot_at = now - contact_interval + self._rng.uniform(0.0, self._interval)
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
        expired = now - self._burst_time - self._slot_at
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
