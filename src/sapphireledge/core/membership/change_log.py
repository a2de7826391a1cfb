"""Changes of usage that a peer has not acknowledged yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.membership.rank_by_rendezvous import rank_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["ChangeLog"]

RELATIVE_CHANGE = 0.05
"""Change of the usage of a workspace, beyond its decay, that is worth sending."""

SMALLEST_USAGE = 1.0
"""Usage in tokens below which a workspace counts as idle and is forgotten."""


class ChangeLog:
    """Usage of workspaces, ordered by their last change.

    Receivers decay what they know by the same half-life, so a value is sent again only if it
    departed from its decay. Each change has a position; a peer that acknowledged a position needs
    only the changes after it.
    """

    def __init__(self, half_life: float) -> None:
        """Creates an empty log.

        Args:
            half_life: Half-life of usage in seconds.
        """
        self._half_life = half_life
        self._values: dict[str, tuple[float, float]] = {}
        self._positions: dict[str, int] = {}
        self.position = 0
        """Position of the newest change."""

    def on_sample(self, now: float, usage: Mapping[str, float]) -> None:
        """Takes a sample of all usage.

        Args:
            now: Time of the sample.
            usage: Decayed tokens of each workspace; a missing one has none.
        """
        changed = [name for name, value in usage.items() if self._departs(now, name, value)]
        # Heartbeats are bounded. With a fixed order the same workspaces would go first in every
        # period of many changes and the others never.
        for name in rank_by_rendezvous(str(self.position), changed):
            self.position += 1
            self._positions.pop(name, None)
            self._positions[name] = self.position
            self._values[name] = (usage[name], now)
        for name in [name for name in self._values if name not in usage]:
            if self._known(now, name) < SMALLEST_USAGE:
                del self._values[name]
                del self._positions[name]

    def changes_after(self, now: float, position: int, limit: int) -> tuple[dict[str, float], int]:
        """Selects the oldest changes after a position.

        Args:
            now: Time to which the values are decayed.
            position: Position that the peer has acknowledged.
            limit: Most changes to return.

        Returns:
            The values, and the position that the peer acknowledges with them.
        """
        newest_first: list[str] = []
        for name in reversed(self._positions):
            if self._positions[name] <= position:
                break
            newest_first.append(name)
        chosen = newest_first[::-1][:limit]
        last = self._positions[chosen[-1]] if len(chosen) < len(newest_first) else self.position
        return {name: self._known(now, name) for name in chosen}, last

    def _departs(self, now: float, name: str, value: float) -> bool:
        """Tells whether a value differs noticeably from what peers compute."""
        known = self._known(now, name)
        return abs(value - known) > max(SMALLEST_USAGE, RELATIVE_CHANGE * known)

    def _known(self, now: float, name: str) -> float:
        """Returns what a peer with the newest value computes for a workspace."""
        if name not in self._values:
            return 0.0
        value, since = self._values[name]
        return value * 0.5 ** ((now - since) / self._half_life)
