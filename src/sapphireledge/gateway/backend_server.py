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

    def is_restart_of(self, other: BackendServer) -> bool:
        """Whether another description with the same id belongs to a different incarnation.

        Args:
            other: The other description.

        Returns:
            Whether the start times, as far as they are known, the places or the versions differ.
        """
        has_other_start = self.started_at_ms != other.started_at_ms
        return bool(self.started_at_ms and other.started_at_ms and has_other_start) or (
            (self.service, self.host, self.port, self.version)
            != (other.service, other.host, other.port, other.version)
        )

    @property
    def address(self) -> str:
        """Address as `IP:PORT`."""
        return f"{self.host}:{self.port}"
