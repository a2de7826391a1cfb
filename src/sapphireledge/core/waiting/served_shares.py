"""Which ranks or workspaces have been served much less often than all."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from sapphireledge.core.decay import DecayedSum

if TYPE_CHECKING:
    from collections.abc import Hashable

    from sapphireledge.core.waiting.counts_elsewhere import CountsElsewhere

__all__ = ["ServedShares"]

MIN_PRUNED_KEYS = 256
"""Number of keys up to which those without recent requests are kept."""

PRIOR_STARTS = 1.0
"""Starts assumed before any observation; a few requests that have just arrived prove nothing."""

NEGLIGIBLE = 0.05
"""Recent requests of a key below which it is dropped."""


Key = TypeVar("Key", bound="Hashable")


class ServedShares(Generic[Key]):
    """Compares how often the requests of each rank or workspace start.

    Load pattern: a flood of one rank or workspace that exceeds what the backend servers can serve.
    Without a floor, an order by rank or by usage starts nothing of the others, or nothing of the
    heavy workspace itself, for as long as the flood lasts.
    """

    def __init__(self, window: float, floor: float) -> None:
        """Creates the shares.

        Args:
            window: Seconds over which requests and starts are counted.
            floor: Fraction of the share of all requests that a key keeps.
        """
        self._window = window
        self._floor = floor
        self._arrived: dict[Key, DecayedSum] = {}
        self._started: dict[Key, DecayedSum] = {}
        self._all_arrived = DecayedSum(window)
        self._all_started = DecayedSum(window)

    def on_arrival(self, now: float, key: Key) -> None:
        """Counts a request.

        Args:
            now: Current time in seconds.
            key: Its rank or workspace.
        """
        if key not in self._arrived:
            self._prune(now)
            self._arrived[key] = DecayedSum(self._window)
            self._started[key] = DecayedSum(self._window)
        self._arrived[key].add(now, 1.0)
        self._all_arrived.add(now, 1.0)

    def on_start(self, now: float, key: Key) -> None:
        """Counts the start of a request that was counted before.

        Args:
            now: Current time in seconds.
            key: Its rank or workspace.
        """
        if key in self._started:
            self._started[key].add(now, 1.0)
            self._all_started.add(now, 1.0)

    def counts(self, now: float) -> dict[Key, tuple[float, float]]:
        """Returns recent requests and starts of each key.

        Args:
            now: Current time in seconds.

        Returns:
            Requests and starts, as decayed sums.
        """
        return {
            key: (arrived.value(now), self._started[key].value(now))
            for key, arrived in self._arrived.items()
        }

    def is_starved(
        self, now: float, key: Key, elsewhere: CountsElsewhere[Key] | None = None
    ) -> bool:
        """Checks whether the requests of a key start much less often than all.

        Args:
            now: Current time in seconds.
            key: A rank or workspace.
            elsewhere: Requests and starts at other instances.

        Returns:
            Whether its share of starts is below the floor; False for an unknown key.
        """
        if key not in self._arrived:
            return False
        arrived, started = self._arrived[key].value(now), self._started[key].value(now)
        all_arrived, all_started = self._all_arrived.value(now), self._all_started.value(now)
        if elsewhere is not None:
            arrived += elsewhere.counts.get(key, (0.0, 0.0))[0]
            started += elsewhere.counts.get(key, (0.0, 0.0))[1]
            all_arrived += elsewhere.arrived
            all_started += elsewhere.started
        return (started + PRIOR_STARTS) * all_arrived < self._floor * all_started * arrived

    def _prune(self, now: float) -> None:
        """Drops keys without recent requests."""
        if len(self._arrived) <= MIN_PRUNED_KEYS:
            return
        for key in [k for k, sum_ in self._arrived.items() if sum_.value(now) < NEGLIGIBLE]:
            del self._arrived[key], self._started[key]
