"""Sums of the usage reported by several sources."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["UsageSums"]

REBASE_HALF_LIVES = 100.0
"""Half-lives after which values are scaled to a new reference time; 2**100 is far from overflow."""

MIN_USAGE = 1.0
"""Usage in tokens below which a workspace counts as idle."""


class UsageSums:
    """Decayed usage per workspace, summed over sources.

    Values are stored as of a common reference time, so decay needs no updates and totals change
    only when a source does.
    """

    def __init__(self, half_life: float) -> None:
        """Creates empty sums.

        Args:
            half_life: Half-life of usage in seconds.
        """
        self._half_life = half_life
        self._reference_time = 0.0
        self._sources: dict[str, dict[str, float]] = {}
        self._totals: dict[str, float] = {}

    def merge(self, now: float, source: str, usage: Mapping[str, float]) -> None:
        """Replaces the usage of the given workspaces of one source.

        Args:
            now: Time of the values in seconds.
            source: Name of the source.
            usage: Decayed tokens by workspace; other workspaces of the source keep their usage.
        """
        self._rebase(now)
        scale = 2.0 ** ((now - self._reference_time) / self._half_life)
        known = self._sources.setdefault(source, {})
        for workspace, value in usage.items():
            scaled = value * scale
            before = known.get(workspace, 0.0)
            self._totals[workspace] = self._totals.get(workspace, 0.0) + scaled - before
            known[workspace] = scaled

    def remove_source(self, source: str) -> None:
        """Removes a source whose process, and therefore its work, has ended."""
        for workspace, scaled in self._sources.pop(source, {}).items():
            self._totals[workspace] = self._totals[workspace] - scaled

    def total(self, now: float) -> dict[str, float]:
        """Sums all sources.

        Args:
            now: Time to which the values are decayed.

        Returns:
            Decayed tokens of each workspace that is not idle.
        """
        scale = 0.5 ** ((now - self._reference_time) / self._half_life)
        return {
            workspace: scaled * scale
            for workspace, scaled in self._totals.items()
            if scaled * scale >= MIN_USAGE
        }

    def _rebase(self, now: float) -> None:
        """Moves the reference time to `now` when it is too far off; drops idle workspaces."""
        age = (now - self._reference_time) / self._half_life
        if abs(age) < REBASE_HALF_LIVES and self._totals:
            return
        scale = 0.5**age if self._totals else 1.0
        self._reference_time = now
        for source, usage in self._sources.items():
            scaled = {name: value * scale for name, value in usage.items()}
            self._sources[source] = {
                name: value for name, value in scaled.items() if value >= MIN_USAGE / 100
            }
        self._totals = {}
        for usage in self._sources.values():
            for name, value in usage.items():
                self._totals[name] = self._totals.get(name, 0.0) + value
