"""Interface through which the mesh reads the state of this entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.peers.local_state import LocalState

__all__ = ["LocalStateSource"]


class LocalStateSource(Protocol):
    """Source of the state that heartbeats report."""

    def local_state(self, now: float) -> LocalState:
        """Returns the current state of this entry.

        Args:
            now: Time in seconds to which usage is decayed.

        Returns:
            The state.
        """
        ...
