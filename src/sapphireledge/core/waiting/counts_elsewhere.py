"""Requests and starts at other instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable, Mapping

__all__ = ["CountsElsewhere"]

Key = TypeVar("Key", bound="Hashable")


@dataclass(frozen=True)
class CountsElsewhere(Generic[Key]):
    """Requests and starts at other instances, summed once for many comparisons."""

    counts: Mapping[Key, tuple[float, float]]
    """Requests and starts of each key, as decayed sums."""

    arrived: float
    """Requests of all keys."""

    started: float
    """Starts of all keys."""

    @classmethod
    def sum(cls, counts: Mapping[Key, tuple[float, float]]) -> CountsElsewhere[Key]:
        """Sums the counts of all keys.

        Args:
            counts: Requests and starts of each key.

        Returns:
            The counts with their sums.
        """
        rows = list(counts.values())
        return cls(counts, sum(row[0] for row in rows), sum(row[1] for row in rows))
