"""Software versions that served within the longest time to a take-up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.origins import MAX_SERVICES, HeardVersions, VersionSightings
from sapphireledge.gateway.config_view import seconds_since_boot

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.origins import OriginReport
    from sapphireledge.gateway.backend_registry import BackendRegistry
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["VersionHistory"]

MIN_RETENTION = 60.0
"""Shortest time in seconds for which a version counts after its last sight, or after the instance
read it for the first time."""

MAX_RETENTION = 600.0
"""Longest such time."""

MAX_REGISTRY_AGE = 9.0
"""Seconds since the registry was last known to be current after which versions may be missing.
While the store answers, two watches, the batch between them and the reply of a relay take less."""

FRESH_AGE = 4.0
"""Age of the registry in seconds from which its versions count only together with stored reports
that were read since. A watch without changes and the reply of a relay take less."""


class VersionHistory:
    """Versions that this instance saw, and versions that stored reports name.

    What served before the instance started, and while it did not hear from the registry, is known
    once the stored reports have been read afterwards.
    """

    def __init__(self, registry: BackendRegistry) -> None:
        """Creates the history of an instance that has seen nothing.

        Args:
            registry: Known backend servers.
        """
        self._time_limits: Mapping[str, float] | None = None
        self._longest_lifetime = 0.0
        self._lifetime_counts_until = float("-inf")
        self.needs_reports = False
        """Whether there are stored reports; without, an instance knows only what it saw itself."""

        self.reports_as_of = float("-inf")
        """Time at which the stored reports were last known to be current."""

        self.heard = HeardVersions()
        """Versions that stored reports name."""

        self._registry = registry
        self._sightings = VersionSightings()
        self._current: dict[str, frozenset[str]] = {}
        self._registry_as_of = float("-inf")
        self._gap_ended_at = float("inf")

    @property
    def retention(self) -> float:
        """Seconds for which a version counts after its last sight."""
        longest = max((self._time_limits or {}).values(), default=0.0)
        if seconds_since_boot() < self._lifetime_counts_until:
            longest = max(longest, self._longest_lifetime)
        return min(max(MIN_RETENTION, longest), MAX_RETENTION)

    def is_followed(self, service: str) -> bool:
        """Whether callers may take up streams of a service.

        Args:
            service: Name of the service.

        Returns:
            Whether they may; of no service before the first configuration.
        """
        return self._time_limits is not None and service in self._time_limits

    def only_version(self, service: str) -> str | None:
        """Returns the version that began every stream of a service.

        Args:
            service: Name of the service.

        Returns:
            The version, None if there may have been several.
        """
        if not self.is_complete:
            return None
        versions = self.versions(service)
        return next(iter(versions)) if len(versions) == 1 else None

    @property
    def is_complete(self) -> bool:
        """Whether no version can be missing."""
        if not self.needs_reports:
            return True
        now = seconds_since_boot()
        if now - self._registry_as_of > MAX_REGISTRY_AGE or not self.knows_reports:
            return False
        return now - max(self._registry_as_of, self.reports_as_of) <= FRESH_AGE

    @property
    def knows_reports(self) -> bool:
        """Whether the stored reports were read after the latest time without the registry."""
        return self.reports_as_of >= self._gap_ended_at - MAX_REGISTRY_AGE

    def versions(self, service: str) -> frozenset[str]:
        """Lists the versions of a service that served lately.

        Args:
            service: Name of the service.

        Returns:
            The versions.
        """
        heard = self.heard.versions(seconds_since_boot() - self.retention)
        return self.seen_versions(service) | heard.get(service, frozenset())

    def mixed_services(self) -> dict[str, frozenset[str]]:
        """Lists the services of which several versions served lately.

        Returns:
            Their versions.
        """
        heard = self.heard.versions(seconds_since_boot() - self.retention)
        services = self._registry.services() | self._sightings.services() | heard.keys()
        known = {
            service: self.seen_versions(service) | heard.get(service, frozenset())
            for service in services
            if self.is_followed(service)
        }
        return {service: versions for service, versions in known.items() if len(versions) > 1}

    def seen_versions(self, service: str) -> frozenset[str]:
        """Lists the versions that this instance saw lately.

        Args:
            service: Name of the service.

        Returns:
            The versions.
        """
        current = {server.version for server in self._registry.list_servers(service)}
        return self._sightings.versions(seconds_since_boot(), service) | current

    def current_versions(self) -> dict[str, frozenset[str]]:
        """Lists the versions of the servers that are known now.

        Returns:
            The versions by service; services without servers are left out.
        """
        current = {
            service: frozenset(server.version for server in self._registry.list_servers(service))
            for service in self._registry.services()
        }
        return {service: versions for service, versions in current.items() if versions}

    def on_lifetime(self, lifetime: float) -> None:
        """Takes in for how long a caller may take up a stream that begins now.

        Args:
            lifetime: Time in seconds.
        """
        now = seconds_since_boot()
        if lifetime >= self._longest_lifetime or now >= self._lifetime_counts_until:
            self._longest_lifetime = lifetime
            self._lifetime_counts_until = now + MAX_RETENTION

    def see(self, service: str, version: str) -> None:
        """Takes in that a version serves, or did until now.

        Args:
            service: Name of the service.
            version: The version.
        """
        self._sightings.record(service, version, seconds_since_boot() + self.retention)

    def on_server_removed(self, server: BackendServer) -> None:
        """Takes in that a server was known until now.

        Args:
            server: The server.
        """
        self.see(server.service, server.version)

    def on_servers_changed(self) -> None:
        """Takes in that servers were added, changed or removed."""
        self._sightings.drop_expired(seconds_since_boot())
        previous, self._current = self._current, self.current_versions()
        for service, versions in previous.items():
            for version in versions - self._current.get(service, frozenset()):
                self.see(service, version)

    def on_config(self, time_limits: Mapping[str, float]) -> None:
        """Takes in which services have streams that callers may take up.

        Args:
            time_limits: Longest time limit in seconds of such streams, by service.
        """
        self._time_limits = {name: time_limits[name] for name in sorted(time_limits)[:MAX_SERVICES]}

    def on_registry_confirmed(self, as_of: float) -> None:
        """Takes in that all servers that were registered before a time are known.

        Args:
            as_of: That time, on the `seconds_since_boot` clock.
        """
        if as_of - self._registry_as_of > MAX_REGISTRY_AGE:
            self._gap_ended_at = as_of
        self._registry_as_of = max(self._registry_as_of, as_of)

    def on_report(self, name: str, report: OriginReport) -> None:
        """Takes in what a stored report names.

        Args:
            name: Name of the report.
            report: Its content.
        """
        self.heard.on_report(seconds_since_boot(), name, report)
