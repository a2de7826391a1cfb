"""Source of objects by kind."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.feed.store_page import StorePage

__all__ = ["ObjectSource"]


class ObjectSource(Protocol):
    """Lists and watches objects by kind; implemented by the client of the platform's store."""

    async def list(self, kind: str) -> StorePage:
        """Reads all objects of a kind.

        Args:
            kind: Kind of the objects.

        Returns:
            The objects and the revision to watch from.

        Raises:
            SourceError: The source did not answer or refused the call.
        """
        ...

    async def watch(self, kind: str, revision: int, wait: float) -> StorePage | None:
        """Waits for changes of a kind.

        Args:
            kind: Kind of the objects.
            revision: Revision after which changes are returned.
            wait: Seconds for which the source holds the call open while there are no changes.

        Returns:
            The changes, an empty page if there were none in time, or None if the history no longer
            covers the revision.

        Raises:
            SourceError: The source did not answer or refused the call.
        """
        ...
