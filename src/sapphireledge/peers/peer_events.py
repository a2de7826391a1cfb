"""Interface through which the mesh publishes what peers report."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.membership import ClearingNotice, DeathNotice, Member

__all__ = ["PeerEvents"]


class PeerEvents(Protocol):
    """Receiver of peer reports; its methods must not block or raise."""

    def on_usage(
        self, now: float, source: str, usage: Mapping[str, float], restarted: bool
    ) -> None:
        """Handles updated usage of a peer or of another data centre.

        Args:
            now: Time in seconds for which the values hold.
            source: Name of the peer, or "data-centre/NAME" for the total of that data centre.
            usage: Decayed tokens of the workspaces whose usage changed.
            restarted: Whether the source restarted, which invalidates its earlier reports.
        """
        ...

    def on_deaths(self, now: float, deaths: tuple[DeathNotice, ...]) -> None:
        """Handles engine deaths that no peer has reported before."""
        ...

    def on_clearings(self, now: float, clearings: tuple[ClearingNotice, ...]) -> None:
        """Handles clearings of suspected requests that no peer has reported before."""
        ...

    def on_leaving(self, now: float, backends: tuple[str, ...]) -> None:
        """Handles backend servers newly reported as leaving."""
        ...

    def on_config_versions(self, now: float, highest: int) -> None:
        """Handles an increase of the highest configuration version known to any peer."""
        ...

    def on_membership(self, now: float, members: tuple[Member, ...]) -> None:
        """Handles a change of the live entries, which include this entry."""
        ...
