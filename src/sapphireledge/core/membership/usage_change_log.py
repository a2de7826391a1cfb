"""Changes of usage that a peer has not acknowledged yet."""

from __future__ import annotations

import bisect
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["UsageChangeLog"]

MIN_RELATIVE_CHANGE = 0.05
"""Change of the usage of a workspace, beyond its decay, that is worth sending."""

MIN_USAGE = 1.0
"""Usage in tokens below which a workspace counts as idle and is forgotten."""


class UsageChangeLog:
    """Usage of workspaces, ordered by their last change.

    Receivers decay what they know by the same half-life, so a value is sent again only if it
    departed from its decay. Each change has a position; a peer that acknowledged a position needs
    only the changes after it. A sample takes in only the largest departures, as many as heartbeats
    can carry; the others grow until they are among the largest. With a queue of all changes, large
    ones would wait behind many small and outdated ones.
    """

    def __init__(self, half_life: float) -> None:
        """Creates an empty log.

        Args:
            half_life: Half-life of usage in seconds.
        """
        self._half_life = half_life
        self._values: dict[str, tuple[float, float]] = {}
        self._positions: dict[str, int] = {}
        self._order: list[tuple[int, str]] = []
        self.position = 0
        """Position of the newest change."""

    def on_sample(self, now: float, usage: Mapping[str, float], limit: int) -> None:
        """Takes a sample of all usage.

        Args:
            now: Time of the sample.
            usage: Decayed tokens of each workspace; a missing one has none.
            limit: Most changes to take in.
        """
        deviations = []
        for name, value in usage.items():
            decayed = self._decayed_value(now, name)
            deviation = abs(value - decayed)
            if deviation > MIN_USAGE and deviation > MIN_RELATIVE_CHANGE * decayed:
                deviations.append((deviation, name))
        for _, name in heapq.nlargest(limit, deviations):
            self.position += 1
            self._positions[name] = self.position
            self._order.append((self.position, name))
            self._values[name] = (usage[name], now)
        self._prune(now, usage)

    def changes_after(self, now: float, position: int, limit: int) -> tuple[dict[str, float], int]:
        """Selects the oldest changes after a position.

        Args:
            now: Time to which the values are decayed.
            position: Position that the peer has acknowledged.
            limit: Most changes to return.

        Returns:
            The values, and the position that the peer acknowledges with them.
        """
        chosen: dict[str, float] = {}
        for index in range(bisect.bisect(self._order, position, key=_position), len(self._order)):
            number, name = self._order[index]
            if self._positions.get(name) != number:
                continue
            if len(chosen) == limit:
                return chosen, number - 1
            chosen[name] = self._decayed_value(now, name)
        return chosen, self.position

    def _prune(self, now: float, usage: Mapping[str, float]) -> None:
        """Drops workspaces without usage, and entries that a later change replaced."""
        for name in [name for name in self._values if name not in usage]:
            if self._decayed_value(now, name) < MIN_USAGE:
                del self._values[name]
                del self._positions[name]
        if len(self._order) > 2 * len(self._positions) + 64:
            self._order = [
                entry for entry in self._order if self._positions.get(entry[1]) == entry[0]
            ]

    def _decayed_value(self, now: float, name: str) -> float:
        """Returns what a peer with the newest value computes for a workspace."""
        if name not in self._values:
            return 0.0
        value, since = self._values[name]
        return value * 0.5 ** ((now - since) / self._half_life)


def _position(entry: tuple[int, str]) -> int:
    """Returns the position of an entry of the order."""
    return entry[0]
