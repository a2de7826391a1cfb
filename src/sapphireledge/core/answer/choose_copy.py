"""Selection among several copies of an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.answer.copy_location import CopyLocation

__all__ = ["choose_copy"]


def choose_copy(locations: Mapping[str, CopyLocation]) -> str | None:
    """Chooses the copy to take over.

    The epoch takes precedence over the length, because a longer copy of an older epoch contains a
    different continuation.

    Args:
        locations: State of the copy at each holder.

    Returns:
        The holder of the newest and longest copy, or None if there is no copy.
    """
    if not locations:
        return None

    def sort_key(holder: str) -> tuple[int, bool, int, str]:
        location = locations[holder]
        return (location.epoch, location.finished, location.stored, holder)

    return max(locations, key=sort_key)
