"""Which software version began a stream that its caller takes up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.origins import OriginLedger, VersionSightings, digest_attempt

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.backend_registry import BackendRegistry
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["StreamOrigins"]

MIN_RETENTION = 60.0
"""Shortest time in seconds for which the version of a server counts after its last sight."""

MAX_RETENTION = 600.0
"""Longest such time, and the longest for which an origin is kept."""

MAX_OWN_ORIGINS = 8192
"""Largest number of origins of this instance that are kept."""


class StreamOrigins:
    """Knows the versions that began streams, and the versions that served lately.

    While every server of a service that was seen within the longest time to a take-up has one
    version, that version began each of its streams. Otherwise only recorded origins count.
    """

    def __init__(self, registry: BackendRegistry) -> None:
        """Creates the origins of an instance.

        Args:
            registry: Known backend servers.
        """
        self._registry = registry
        self.longest_answer: Callable[[str], float | None] = lambda service: None
        """Returns how long answers of a service may take, None if no configuration says so."""

        self._own = OriginLedger(MAX_OWN_ORIGINS)
        self._sightings = VersionSightings()
        self._longest_lifetime = 0.0

    def record(self, service: str, attempt_id: str, version: str, lifetime: float) -> None:
        """Records the version that began a stream, when its first event is delivered.

        Args:
            service: Name of the service.
            attempt_id: Id of the caller's attempt.
            version: Version of the server that sent the event.
            lifetime: Seconds for which the caller may take the stream up.
        """
        if not attempt_id:
            return
        now = asyncio.get_running_loop().time()
        lifetime = min(lifetime, MAX_RETENTION)
        self._longest_lifetime = max(self._longest_lifetime, lifetime)
        self._own.record(now, digest_attempt(service, attempt_id), version, now + lifetime)

    def version_of(self, service: str, attempt_id: str) -> str | None:
        """Returns the version that began a stream.

        Args:
            service: Name of the service.
            attempt_id: Id of the attempt that the take-up names, empty if it names none.

        Returns:
            The version, None if it is not known (yet).
        """
        now = asyncio.get_running_loop().time()
        version = self._own.find(now, digest_attempt(service, attempt_id)) if attempt_id else None
        if version is not None:
            return version
        versions = self.versions(service)
        return next(iter(versions)) if len(versions) == 1 else None

    async def find(self, service: str, attempt_id: str, time_left: float) -> str | None:
        """Returns the same, and waits a short time for what other instances have recorded.

        Args:
            service: Name of the service.
            attempt_id: Id of the attempt that the take-up names, empty if it names none.
            time_left: Seconds that the caller still waits.

        Returns:
            The version, None if it is not known.
        """
        return self.version_of(service, attempt_id)

    def versions(self, service: str) -> frozenset[str]:
        """Lists the versions of a service that were seen within the longest time to a take-up.

        Args:
            service: Name of the service.

        Returns:
            The versions.
        """
        now = asyncio.get_running_loop().time()
        current = {server.version for server in self._registry.list_servers(service)}
        return self._sightings.versions(now, service) | current

    def on_server_seen(self, server: BackendServer) -> None:
        """Takes in that a server is known, or was until now.

        Args:
            server: The server.
        """
        until = asyncio.get_running_loop().time() + self._retention(server.service)
        self._sightings.record(server.service, server.version, until)

    def _retention(self, service: str) -> float:
        """Returns the seconds for which a version counts after its last sight."""
        longest = max(self.longest_answer(service) or 0.0, self._longest_lifetime)
        return min(max(MIN_RETENTION, longest), MAX_RETENTION)
