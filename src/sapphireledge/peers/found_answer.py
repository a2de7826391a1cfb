"""Location of an answer found by a search."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ["FoundAnswer", "location_order"]


def location_order(location: Any) -> tuple[int, bool, bool, int]:
    """Returns the sort key of a location; the greatest is preferred.

    Args:
        location: An AnswerLocation.

    Returns:
        The key: the highest epoch takes precedence, then the owner, then a copy that includes the
        end of the answer, then the longest copy.
    """
    return location.epoch, location.owner, location.finished, location.stored


@dataclass(frozen=True, slots=True)
class FoundAnswer:
    """Location of an answer found by a search."""

    instance: str
    """Name of the entry that holds the answer or a copy, empty if none was found."""

    location: Any
    """AnswerLocation returned by that entry, None if none was found."""

    complete: bool
    """Whether every queried entry replied, so that an answer not found no longer exists."""

    def is_outranked_by(self, location: Any) -> bool:
        """Whether another location of the same answer is preferred to the one found.

        Args:
            location: An AnswerLocation.

        Returns:
            True also if nothing was found.
        """
        if self.location is None:
            return True
        return location_order(location) > location_order(self.location)
