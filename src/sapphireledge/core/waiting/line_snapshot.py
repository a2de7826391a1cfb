"""Length and age of a waiting line."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["LineSnapshot"]


@dataclass(frozen=True, slots=True)
class LineSnapshot:
    """Length and age of a waiting line, for operators."""

    length_by_rank: Mapping[int, int]
    """Number of waiting requests of each rank."""

    oldest_wait: float
    """Seconds for which the oldest request has waited, 0 if none waits."""

    drain_rate: float | None
    """Starts per second, None if too few were seen."""
