"""Versions that stored reports name."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from sapphireledge.core.origins.origin_report import OriginReport

__all__ = ["HeardVersions"]


class HeardVersions:
    """Versions by report and service, each with the time at which the report first named it.

    A report that stays in the store, such as one of an instance that is gone for good, does not
    keep a version in force.
    """

    def __init__(self) -> None:
        self._named: dict[str, dict[str, dict[str, float]]] = {}
        self._latest: dict[str, dict[str, float]] | None = {}

    def on_report(self, now: float, name: str, report: OriginReport) -> None:
        """Takes in a version of a report.

        Args:
            now: Monotonic time in seconds.
            name: Name of the report.
            report: Its content; what it does not name any more is forgotten.
        """
        known = self._named.pop(name, {})
        named = {
            service: {version: known.get(service, {}).get(version, now) for version in versions}
            for service, versions in report.versions.items()
        }
        if named:
            self._named[name] = named
        if named != known:
            self._latest = None

    def retain(self, names: Collection[str]) -> None:
        """Forgets the reports that are not listed.

        Args:
            names: Names of the listed reports.
        """
        for name in self._named.keys() - set(names):
            del self._named[name]
            self._latest = None

    def versions(self, since: float) -> Mapping[str, frozenset[str]]:
        """Lists the versions that reports named for the first time lately.

        Args:
            since: Monotonic time in seconds from which a first naming counts.

        Returns:
            The versions by service.
        """
        if self._latest is None:
            self._latest = self._find_latest()
        recent = {
            service: frozenset(version for version, first in versions.items() if first > since)
            for service, versions in self._latest.items()
        }
        return {service: versions for service, versions in recent.items() if versions}

    def names(self, service: str, version: str, *, except_for: str) -> bool:
        """Checks whether a report names a version.

        Args:
            service: Name of the service.
            version: Version.
            except_for: Name of a report that does not count.

        Returns:
            Whether one does.
        """
        return any(
            version in services.get(service, ())
            for name, services in self._named.items()
            if name != except_for
        )

    def _find_latest(self) -> dict[str, dict[str, float]]:
        """Finds the latest first naming of each version."""
        latest: dict[str, dict[str, float]] = {}
        for services in self._named.values():
            for service, versions in services.items():
                found = latest.setdefault(service, {})
                for version, first in versions.items():
                    found[version] = max(first, found.get(version, first))
        return latest
