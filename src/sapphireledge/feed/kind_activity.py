"""Whether changes of a kind are expected."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["KindActivity"]


class KindActivity:
    """Tells the watchers of kinds that rarely change when to read them more often.

    Every call to the store is charged, so kinds that matter only now and then are read rarely
    otherwise.
    """

    def __init__(self) -> None:
        self.is_active = False
        """Whether changes are expected."""

        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, on_begun: Callable[[], None]) -> None:
        """Adds a function to call when changes are expected from now on.

        Args:
            on_begun: Function to call.
        """
        self._listeners.append(on_begun)

    def update(self, *, active: bool) -> None:
        """Sets whether changes are expected.

        Args:
            active: Whether they are.
        """
        has_begun = active and not self.is_active
        self.is_active = active
        if has_begun:
            for on_begun in self._listeners:
                on_begun()
