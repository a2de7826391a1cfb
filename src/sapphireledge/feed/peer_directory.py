"""Directory of the entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed.peer import Peer

__all__ = ["PeerDirectory"]


class PeerDirectory(Protocol):
    """Lists the entry instances; implemented by the client of the platform's store."""

    async def announce(self, peer: Peer) -> None:
        """Stores the description of this instance.

        Args:
            peer: This instance.

        Raises:
            SourceError: The store did not answer or refused the call.
        """
        ...

    async def list_peers(self) -> Sequence[Peer]:
        """Lists every instance that was ever announced.

        Returns:
            The instances; some may no longer exist.

        Raises:
            SourceError: The store did not answer or refused the call.
        """
        ...
