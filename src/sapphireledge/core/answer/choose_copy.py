"""Choice among several copies of one answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.answer.copy_location import CopyLocation

__all__ = ["choose_copy"]


def choose_copy(locations: Mapping[str, CopyLocation]) -> str | None:
    """Chooses the copy to take over.

    The highest epoch comes first: a longer copy of an older epoch holds another continuation.

    Args:
        locations: What each holder knows.

    Returns:
        The holder with the newest and longest copy, or None without one.
    """
    if not locations:
        return None

    def sort_key(holder: str) -> tuple[int, bool, int, str]:
        location = locations[holder]
        return (location.epoch, location.finished, location.stored, holder)

    return max(locations, key=sort_key)
