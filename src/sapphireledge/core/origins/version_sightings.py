"""Software versions whose servers were seen lately."""

from __future__ import annotations

__all__ = ["VersionSightings"]

MAX_VERSIONS = 64
"""Largest number of versions of one service that are kept; the oldest sightings are dropped."""


class VersionSightings:
    """Versions by service, each until the time at which its sighting expires."""

    def __init__(self) -> None:
        self._until: dict[str, dict[str, float]] = {}

    def record(self, service: str, version: str, until: float) -> None:
        """Records that a server of a version was seen.

        Args:
            service: Name of the service.
            version: Version of the server's software.
            until: Monotonic time in seconds until which the sighting counts.
        """
        versions = self._until.setdefault(service, {})
        versions[version] = max(until, versions.pop(version, until))
        if len(versions) > MAX_VERSIONS:
            del versions[next(iter(versions))]

    def versions(self, now: float, service: str) -> frozenset[str]:
        """Lists the versions of a service that were seen lately.

        Args:
            now: Monotonic time in seconds.
            service: Name of the service.

        Returns:
            The versions.
        """
        known = self._until.get(service)
        if not known:
            return frozenset()
        for version in [name for name, until in known.items() if until <= now]:
            del known[version]
        if not known:
            del self._until[service]
        return frozenset(known)

    def drop_expired(self, now: float) -> None:
        """Forgets the sightings that have expired.

        Args:
            now: Monotonic time in seconds.
        """
        for service in tuple(self._until):
            self.versions(now, service)

    def services(self) -> frozenset[str]:
        """Lists the services of which a version was seen.

        Returns:
            Their names.
        """
        return frozenset(self._until)
