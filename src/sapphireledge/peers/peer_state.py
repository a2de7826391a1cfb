"""Interface through which the mesh asks what to send."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.peers.local_state import LocalState

__all__ = ["PeerState"]


class PeerState(Protocol):
    """Source of what heartbeats carry."""

    def local_state(self, now: float) -> LocalState:
        """Returns the current state of the entry.

        Args:
            now: Time to which usage is decayed.

        Returns:
            The state.
        """
        ...
