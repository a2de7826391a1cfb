"""Receiver of the objects of one kind."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed.store_page import StoredEntry

__all__ = ["KindListener"]


class KindListener(Protocol):
    """Receives listings and changes of one kind."""

    def replace_all(self, entries: Sequence[StoredEntry]) -> None:
        """Applies a full listing.

        Args:
            entries: Every object of the kind.
        """
        ...

    def apply(self, entries: Sequence[StoredEntry]) -> None:
        """Applies changes.

        Args:
            entries: Changed and removed objects, in order.
        """
        ...

    def confirm(self, as_of: float) -> None:
        """Called when all changes up to a point in time have been applied.

        Args:
            as_of: Time on the `seconds_since_boot` clock.
        """
        ...

    def on_store_recovered(self, outage: float) -> None:
        """Called when the store answers again after failed calls.

        Args:
            outage: Seconds since the last successful call; the store was away for at most as long.
        """
        ...

    def on_store_restored(self) -> None:
        """Called when the store came back from an older copy, before it is listed again.

        What was written to the store since that copy is missing there, until it is written again.
        """
        ...
