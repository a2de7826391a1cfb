"""Interface through which the mesh reports what peers said."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.membership import ClearingNotice, DeathNotice, Member

__all__ = ["PeerEvents"]


class PeerEvents(Protocol):
    """Receiver of what peers said; the methods return quickly and do not raise."""

    def on_usage(
        self, now: float, source: str, usage: Mapping[str, float], restarted: bool
    ) -> None:
        """Takes newer usage of a peer or of another data centre.

        Args:
            now: Time of the values.
            source: Name of the peer, or "data-centre/NAME" for the sum of that data centre.
            usage: Decayed tokens of the workspaces that changed.
            restarted: Whether the source began anew; what it had reported before has ended.
        """
        ...

    def on_deaths(self, now: float, deaths: tuple[DeathNotice, ...]) -> None:
        """Takes engine deaths that no peer has reported before."""
        ...

    def on_clearings(self, now: float, clearings: tuple[ClearingNotice, ...]) -> None:
        """Takes clearings of suspected requests that no peer has reported before."""
        ...

    def on_leaving(self, now: float, backends: tuple[str, ...]) -> None:
        """Takes backend servers that are leaving."""
        ...

    def on_config_versions(self, now: float, highest: int) -> None:
        """Takes the highest configuration version that any peer knows of, when it rises."""
        ...

    def on_membership(self, now: float, members: tuple[Member, ...]) -> None:
        """Takes the entries that are taken as alive, the own one included, when they change."""
        ...
