"""Estimate of how much of the time servers run certain requests."""

from __future__ import annotations

from collections import OrderedDict
from math import exp
from typing import TYPE_CHECKING

from sapphireledge.core.decay import DecayedSum

if TYPE_CHECKING:
    from sapphireledge.core.quarantine.service_size import ServiceSize

__all__ = ["PresenceEstimator"]

WINDOW = 10.0
"""Time constant in seconds of the average; follows a flood before it ends."""

MAX_NAMES = 2_048
"""Scopes and services whose running time is remembered; the one that ran longest ago is forgotten
first."""


class PresenceEstimator:
    """Estimates the share of time in which a server runs a request of a scope or of a service."""

    def __init__(self) -> None:
        self._run_times: OrderedDict[str, DecayedSum] = OrderedDict()

    def on_ended(self, now: float, name: str, run_time: float) -> None:
        """Records that a request of this instance ended.

        Args:
            now: Monotonic time in seconds.
            name: Scope or service of the request.
            run_time: Seconds for which it ran.
        """
        run_times = self._run_times.pop(name, None) or DecayedSum(WINDOW)
        run_times.add(now, run_time)
        self._run_times[name] = run_times
        if len(self._run_times) > MAX_NAMES:
            self._run_times.popitem(last=False)

    def estimate(self, now: float, name: str, size: ServiceSize) -> float:
        """Estimates the share of time for a server of a service, over all instances.

        All instances are taken to have as many such requests as this one, and to spread
        them over the servers evenly and at random.

        Args:
            now: Monotonic time in seconds.
            name: The scope or service.
            size: Size of the service.

        Returns:
            The share, from 0 to 1.
        """
        run_times = self._run_times.get(name)
        if run_times is None:
            return 0.0
        return 1.0 - exp(-run_times.rate(now) * size.instances / size.servers)
