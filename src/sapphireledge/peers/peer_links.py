"""Interface to the live entries and the links to them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.membership import Member
    from sapphireledge.peers.peer_link import PeerLink

__all__ = ["PeerLinks"]


class PeerLinks(Protocol):
    """Live entries and the links to them."""

    @property
    def local_member(self) -> Member:
        """This entry."""
        ...

    @property
    def live(self) -> tuple[Member, ...]:
        """Entries that are presumed alive, including this one."""
        ...

    def link(self, name: str) -> PeerLink | None:
        """Returns the link to a peer that exchanges heartbeats with this entry, or None."""
        ...
