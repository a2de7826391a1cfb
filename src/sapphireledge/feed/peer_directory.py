"""Instances of the system as the store lists them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed.peer import Peer

__all__ = ["PeerDirectory"]


class PeerDirectory(Protocol):
    """Implemented by the client of the platform's store."""

    async def announce(self, peer: Peer) -> None:
        """Stores the description of this instance.

        Args:
            peer: This instance.

        Raises:
            SourceError: The store did not answer, or refused.
        """
        ...

    async def list_peers(self) -> Sequence[Peer]:
        """Lists the instances that ever announced themselves.

        Returns:
            The instances; some may be gone.

        Raises:
            SourceError: The store did not answer, or refused.
        """
        ...
