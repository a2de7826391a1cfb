"""Set with a random member in constant time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

__all__ = ["IndexedSet"]


class IndexedSet:
    """Set of names with insertion, removal and random choice in constant time."""

    __slots__ = ("_indexes", "_items")

    def __init__(self) -> None:
        self._items: list[str] = []
        self._indexes: dict[str, int] = {}

    def add(self, item: str) -> None:
        """Adds a name.

        Args:
            item: The name; nothing happens if it is a member.
        """
        if item not in self._indexes:
            self._indexes[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: str) -> None:
        """Removes a name.

        Args:
            item: The name; nothing happens if it is not a member.
        """
        index = self._indexes.pop(item, None)
        if index is None:
            return
        last = self._items.pop()
        if index < len(self._items):
            self._items[index] = last
            self._indexes[last] = index

    def choice(self, rng: Random) -> str:
        """Draws a member.

        Args:
            rng: Random source.

        Returns:
            The name; the set must not be empty.
        """
        return self._items[int(rng.random() * len(self._items))]

    def __contains__(self, item: str) -> bool:
        return item in self._indexes

    def __iter__(self) -> Iterator[str]:
        return iter(self._items)

    def __len__(self) -> int:
        return len(self._items)
