"""A backend server as the platform's registry describes it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["BackendServer"]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server, from its start to its end."""

    server_id: str
    """Id of the server; unlike its address, it is not reused by a different server."""

    service: str
    """Name of the service that it runs."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    data_centre: str
    """Data centre that it runs in."""

    draining: bool = False
    """Whether the server is draining and must receive no new requests."""

    started_at_ms: int = 0
    """Start time of the incarnation in Unix milliseconds, 0 if unknown."""

    version: str = ""
    """Version of the software that it runs, empty if unknown."""

    is_warming: bool = False
    """Whether it started so recently that it is still slow."""

    @property
    def address(self) -> str:
        """Address as `IP:PORT`."""
        return f"{self.host}:{self.port}"
