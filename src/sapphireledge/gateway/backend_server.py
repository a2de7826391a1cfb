"""A backend server as the platform's registry describes it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["BackendServer"]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server."""

    server_id: str
    """Identity of the incarnation; the address alone may belong to another server later."""

    service: str
    """Service that it belongs to."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    data_centre: str
    """Data centre that it runs in."""

    leaving: bool = False
    """Whether it must receive no new work."""

    born: int = 0
    """Start of the incarnation in Unix milliseconds, 0 when unknown."""

    @property
    def address(self) -> str:
        """Address in the form IP:PORT."""
        return f"{self.host}:{self.port}"
