"""Interface for calls to any entry of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.membership import Member
    from sapphireledge.errors import Failure

__all__ = ["PeerCallClient"]


class PeerCallClient(Protocol):
    """Known entries of the fleet and calls to them."""

    @property
    def local_member(self) -> Member:
        """This entry."""
        ...

    @property
    def members(self) -> tuple[Member, ...]:
        """All known entries of the fleet, including this one."""
        ...

    async def call(self, name: str, method: str, *args: Any, timeout: float) -> Any | Failure:
        """Calls one entry.

        Args:
            name: Name of the entry.
            method: Name of the method of the peer service.
            *args: Arguments in schema order.
            timeout: Seconds within which the reply must arrive.

        Returns:
            The result, or a Failure.
        """
        ...
