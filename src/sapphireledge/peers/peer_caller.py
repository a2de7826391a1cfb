"""Interface for calls to any entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.membership import Member
    from sapphireledge.errors import Failure

__all__ = ["PeerCaller"]


class PeerCaller(Protocol):
    """Calls any entry of the fleet."""

    @property
    def own(self) -> Member:
        """The entry itself."""
        ...

    @property
    def members(self) -> tuple[Member, ...]:
        """All known entries of the fleet, the own one included."""
        ...

    async def call(self, name: str, method: str, *args: Any, timeout: float) -> Any | Failure:
        """Calls one entry.

        Args:
            name: Name of the entry.
            method: Method of the peer service.
            *args: Arguments in the order of the schema.
            timeout: Seconds until the reply must have arrived.

        Returns:
            The result, or a Failure.
        """
        ...
