"""Log of usage changes, from which peers are sent what they have not acknowledged."""

from __future__ import annotations

import bisect
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["UsageChangeLog"]

MIN_RELATIVE_CHANGE = 0.05
"""Smallest deviation from the decayed usage of a workspace that is sent, as a fraction of it."""

MIN_USAGE = 1.0
"""Tokens below which a workspace counts as idle and is dropped, and a deviation is not sent."""


class UsageChangeLog:
    """Usage of workspaces, ordered by their last change.

    Receivers decay their values with the same half-life, so a value is sent again only if it
    deviates from its decay curve. Each change has a position; a peer that acknowledged a position
    needs only the changes after it. Each sample logs only the largest deviations, as many as
    heartbeats can carry; the others grow until they are among the largest. If all changes were
    queued, large ones would wait behind many small and outdated ones.
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
        """Position of the newest change, 0 if there is none."""

    def on_sample(self, now: float, usage: Mapping[str, float], limit: int) -> None:
        """Logs the largest deviations in a sample of all usage.

        Args:
            now: Time of the sample in seconds.
            usage: Decayed tokens of each workspace; a missing workspace has no usage.
            limit: Maximum number of changes to log.
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
            limit: Maximum number of changes to return.

        Returns:
            Usage by workspace, and the position that the peer acknowledges by accepting it.
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
        """Drops idle workspaces, and log entries that a later change superseded."""
        for name in [name for name in self._values if name not in usage]:
            if self._decayed_value(now, name) < MIN_USAGE:
                del self._values[name]
                del self._positions[name]
        if len(self._order) > 2 * len(self._positions) + 64:
            self._order = [
                entry for entry in self._order if self._positions.get(entry[1]) == entry[0]
            ]

    def _decayed_value(self, now: float, name: str) -> float:
        """Returns the usage that a peer with the newest value computes for a workspace."""
        if name not in self._values:
            return 0.0
        value, since = self._values[name]
        return value * 0.5 ** ((now - since) / self._half_life)


def _position(entry: tuple[int, str]) -> int:
    """Returns the position of a log entry."""
    return entry[0]
