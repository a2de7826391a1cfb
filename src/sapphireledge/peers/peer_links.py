"""Interface of live entries and the links to them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.membership import Member
    from sapphireledge.peers.peer_link import PeerLink

__all__ = ["PeerLinks"]


class PeerLinks(Protocol):
    """Live entries and the links to them."""

    @property
    def own(self) -> Member:
        """The entry itself."""
        ...

    @property
    def live(self) -> tuple[Member, ...]:
        """Entries that are taken as alive, the own one included."""
        ...

    def link(self, name: str) -> PeerLink | None:
        """Returns the link to a peer with which heartbeats are exchanged."""
        ...
