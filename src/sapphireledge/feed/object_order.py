"""Interface for objects whose later versions are known by their content."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.feed.store_page import StoredEntry

__all__ = ["ObjectOrder"]


class ObjectOrder(Protocol):
    """Orders the objects of a kind by versions that, unlike revisions, are never given out again.

    A store that comes back from an older copy may hold older objects than those in force.
    """

    @property
    def newest(self) -> int | None:
        """Version of the object in force, None without one."""
        ...

    def is_superseded(self, entry: StoredEntry) -> bool:
        """Checks whether an entry is older than the object in force.

        Args:
            entry: The entry.

        Returns:
            Whether it is.
        """
        ...
