"""Receiver of the objects of one kind."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed.store_page import StoredEntry

__all__ = ["KindListener"]


class KindListener(Protocol):
    """Takes up what a watcher reads."""

    def replace_all(self, entries: Sequence[StoredEntry]) -> None:
        """Takes up a whole listing.

        Args:
            entries: Every object of the kind.
        """
        ...

    def apply(self, entries: Sequence[StoredEntry]) -> None:
        """Takes up changes.

        Args:
            entries: Changed and removed objects in their order.
        """
        ...

    def confirm(self, as_of: float) -> None:
        """Hears that everything up to a moment was taken up.

        Args:
            moment: Seconds of `elapsed_time`.
        """
        ...

    def on_store_recovered(self) -> None:
        """Hears that the store answers again after an outage."""
        ...
