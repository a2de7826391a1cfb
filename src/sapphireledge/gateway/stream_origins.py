"""Which software version began a stream that its caller takes up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.origins import Origin, OriginLedger, OriginReport, digest_attempt
from sapphireledge.gateway.config_view import seconds_since_boot
from sapphireledge.gateway.version_history import MAX_RETENTION, VersionHistory
from sapphireledge.gateway.wait_for_event import wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sapphireledge.gateway.backend_registry import BackendRegistry
    from sapphireledge.gateway.origin_telemetry import OriginTelemetry

__all__ = ["VERSIONS_REPORT", "StreamOrigins"]

MAX_OWN_ORIGINS = 4096
"""Largest number of origins of this instance that are kept."""

MAX_SHARED_ORIGINS = 65_536
"""Largest number of origins of other instances that are kept, about 15 MB."""

FIND_WAIT = 0.8
"""Longest time in seconds for which a take-up waits for what others have recorded; a refusal after
it still reaches the caller early."""

FIND_SHARE = 0.25
"""Largest share of the caller's remaining time for which a take-up waits."""

FEED_LAG = 3.0
"""Seconds since the stored reports were last known to be current after which a take-up of an
unknown stream has them read from the store; the feed confirms them more often."""

CHECK_AGE = 1.0
"""Age of the stored reports in seconds from which they are read before an unknown stream counts as
one of the only version."""

CHECK_WAIT = 0.3
"""Longest time in seconds for which a take-up waits for that."""

VERSIONS_REPORT = "versions-in-use"
"""Name of the report that all instances share. It names the versions that served while there was
only one of each service."""


class StreamOrigins:
    """Knows the versions that began streams, and the versions that served lately.

    While every server of a service that served within the longest time to a take-up has one
    version, that version began each of its streams. Otherwise only recorded origins count.
    """

    def __init__(
        self, registry: BackendRegistry, telemetry: OriginTelemetry, instance: str
    ) -> None:
        """Creates the origins of an instance.

        Args:
            registry: Known backend servers.
            telemetry: Log and metrics.
            instance: Name of the instance, and of its report.
        """
        self.history = VersionHistory(registry)
        """Versions that served lately."""

        self.news = asyncio.Event()
        """Set when a report may have to be written."""

        self.read_wanted = asyncio.Event()
        """Set when the stored reports are to be read without waiting for the feed."""

        self.on_activity: Callable[[bool], None] = lambda _: None
        """Called when changes of the stored reports begin or cease to be expected."""

        self.on_versions_changed: Callable[[], None] = lambda: None
        """Called when the stored report of the versions in use is to be replaced."""

        self.on_own_report: Callable[[OriginReport], None] = lambda _: None
        """Called with the stored report of this instance, also one of an earlier incarnation."""

        self.is_active = True
        """Whether changes of the stored reports are expected, or they have not been read yet."""

        self._telemetry = telemetry
        self._instance = instance
        self._own = OriginLedger(MAX_OWN_ORIGINS)
        self._shared = OriginLedger(MAX_SHARED_ORIGINS)
        self._mixed: dict[str, frozenset[str]] = {}
        self._versions_report = OriginReport()
        self._own_report = OriginReport()
        self._restored_at = float("-inf")
        self._changed = asyncio.Event()

    @property
    def is_mixed(self) -> bool:
        """Whether several versions of a service served lately, as of the latest `update`."""
        return bool(self._mixed)

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
        now = seconds_since_boot()
        lifetime = min(lifetime, MAX_RETENTION)
        self.history.on_lifetime(lifetime)
        digest = digest_attempt(service, attempt_id)
        origin = Origin(service, version)
        if self._own.record(now, digest, origin, now + lifetime) and service in self._mixed:
            self.news.set()

    def is_recorded(self, service: str, attempt_id: str) -> bool:
        """Checks whether an attempt is known to have begun a stream of a service.

        Args:
            service: Name of the service.
            attempt_id: Id of the attempt that a take-up names, empty if it names none.

        Returns:
            Whether it is.
        """
        now, digest = seconds_since_boot(), digest_attempt(service, attempt_id)
        return bool(attempt_id) and any(
            ledger.contains(now, digest) for ledger in (self._own, self._shared)
        )

    def version_of(self, service: str, attempt_id: str) -> str | None:
        """Returns the version that began a stream.

        Args:
            service: Name of the service.
            attempt_id: Id of the attempt that the take-up names, empty if it names none.

        Returns:
            The version, None if it is not known (yet).
        """
        return self._look_up(service, attempt_id)[0]

    async def find(self, service: str, attempt_id: str, time_left: float) -> str | None:
        """Returns the same, and waits a short time for what other instances have recorded.

        Args:
            service: Name of the service.
            attempt_id: Id of the attempt that the take-up names, empty if it names none.
            time_left: Seconds that the caller still waits.

        Returns:
            The version, None if it is not known.
        """
        now = seconds_since_boot()
        give_up_at = now + min(FIND_WAIT, FIND_SHARE * time_left)
        version, source = self._look_up(service, attempt_id)
        if source == "only_version" and attempt_id:
            await self._check_reports(now, min(CHECK_WAIT, FIND_SHARE * time_left))
            version, source = self._look_up(service, attempt_id)
        while version is None and now < give_up_at and self._can_learn(attempt_id):
            if now - self.history.reports_as_of > FEED_LAG or not self.history.is_complete:
                self.read_wanted.set()
            await wait_for_event(self._changed, give_up_at - now)
            now = seconds_since_boot()
            version, source = self._look_up(service, attempt_id)
        self._telemetry.record_lookup(source)
        return version

    async def _check_reports(self, now: float, timeout: float) -> None:
        """Has stored reports read that another instance may just have written, if none are recent.

        An instance learns of a new version up to some seconds after others. Without an answer of
        the store, the versions that it knows decide.
        """
        history = self.history
        if not history.needs_reports or now - history.reports_as_of <= CHECK_AGE:
            return
        self.read_wanted.set()
        give_up_at = now + timeout
        while history.reports_as_of < now - CHECK_AGE and seconds_since_boot() < give_up_at:
            await wait_for_event(self._changed, give_up_at - seconds_since_boot())

    def update(self) -> None:
        """Takes in what changed, or expired, in the versions that served lately."""
        mixed = self.history.mixed_services()
        if mixed != self._mixed:
            previous, self._mixed = self._mixed, mixed
            self._telemetry.record_mixed(previous, mixed)
            self.news.set()
        is_outdated = self.wanted_versions() is not None
        if is_outdated:
            self.on_versions_changed()
        is_active = bool(
            mixed or is_outdated or self._must_read_again or not self.history.knows_reports
        )
        if is_active != self.is_active:
            self.is_active = is_active
            self.on_activity(is_active)
            self.news.set()

    def make_report(self) -> OriginReport:
        """Makes the report of this instance, which is empty unless versions are mixed.

        Versions that other reports name are left out as long as there are no origins.

        Returns:
            The report.
        """
        if not self._mixed:
            return OriginReport()
        origins: dict[Origin, list[int]] = {}
        for digest, origin in self._own.items(seconds_since_boot()):
            if origin.service in self._mixed:
                origins.setdefault(origin, []).append(digest)
        seen = {service: self.history.seen_versions(service) for service in self._mixed}
        is_known = all(
            self.history.heard.names(service, version, except_for=self._instance)
            for service, versions in seen.items()
            for version in versions
        )
        if not origins and is_known:
            return OriginReport()
        return OriginReport(seen, {origin: tuple(found) for origin, found in origins.items()})

    def wanted_versions(self) -> OriginReport | None:
        """Makes the report of the versions in use, if the stored one is to be replaced.

        Returns:
            The report, None if the stored one is right or is not known.
        """
        if not self.history.knows_reports or self._must_read_again:
            return None
        stored = self._versions_report.versions
        wanted = {
            service: versions
            for service, versions in self.history.current_versions().items()
            if len(versions) == 1
            and service not in self._mixed
            and self.history.is_followed(service)
        }
        if all(stored.get(service) == versions for service, versions in wanted.items()):
            return None
        kept = {name: names for name, names in stored.items() if self.history.is_followed(name)}
        return OriginReport({**kept, **wanted})

    def on_reports(self, reports: Mapping[str, OriginReport], *, is_listing: bool) -> None:
        """Takes in stored reports.

        Args:
            reports: Reports by name; an empty one also stands for one that was removed.
            is_listing: Whether there are no others.
        """
        if is_listing:
            self.history.heard.retain(reports)
            self._versions_report = OriginReport()
        for name, report in reports.items():
            self.history.on_report(name, report)
            if name == VERSIONS_REPORT:
                self._versions_report = report
            if name == self._instance:
                self._take_over(report)
            else:
                self._take_in(report)
        self._wake()

    def on_reports_confirmed(self, as_of: float) -> None:
        """Takes in that all reports that were written before a time are known.

        Args:
            as_of: That time, on the `seconds_since_boot` clock.
        """
        self.history.reports_as_of = max(self.history.reports_as_of, as_of)
        self._wake()

    def on_registry_confirmed(self, as_of: float) -> None:
        """Takes in that all servers that were registered before a time are known.

        Args:
            as_of: That time, on the `seconds_since_boot` clock.
        """
        knew_reports = self.history.knows_reports
        self.history.on_registry_confirmed(as_of)
        if self.history.knows_reports != knew_reports:
            self._wake()

    def on_config(self, time_limits: Mapping[str, float]) -> None:
        """Takes in which services have streams that callers may take up.

        Args:
            time_limits: Longest time limit in seconds of such streams, by service.
        """
        self.history.on_config(time_limits)
        self._wake()

    def on_servers_changed(self) -> None:
        """Takes in that servers were added, changed or removed."""
        self.history.on_servers_changed()
        self._wake()

    def on_store_restored(self) -> None:
        """Takes in that the store came back from an older copy; reports may be lost."""
        self._restored_at = seconds_since_boot()
        self._wake()

    def _take_in(self, report: OriginReport) -> None:
        """Records the origins of a report of another instance."""
        now = seconds_since_boot()
        expires_at = now + self.history.retention
        added = 0
        for origin, digests in report.origins.items():
            for digest in digests:
                if self._shared.find(now, digest) != origin:
                    self._shared.record(now, digest, origin, expires_at)
                    added += 1
        self._telemetry.record_read(added)

    def _take_over(self, report: OriginReport) -> None:
        """Continues a report of an earlier incarnation of this instance; each origin once."""
        now = seconds_since_boot()
        expires_at = now + self.history.retention
        previous, self._own_report = self._own_report, report
        for origin, digests in report.origins.items():
            known = set(previous.origins.get(origin, ()))
            new = [digest for digest in digests if digest not in known]
            for digest in new:
                self._own.record(now, digest, origin, expires_at)
        for service, versions in report.versions.items():
            for version in versions - previous.versions.get(service, frozenset()):
                self.history.see(service, version)
        self.on_own_report(report)

    def _look_up(self, service: str, attempt_id: str) -> tuple[str | None, str]:
        """Looks up the version that began a stream, and where it was found."""
        if attempt_id:
            now = seconds_since_boot()
            digest = digest_attempt(service, attempt_id)
            found = {
                source: ledger.find(now, digest)
                for ledger, source in ((self._own, "own"), (self._shared, "shared"))
                if ledger.contains(now, digest)
            }
            if found:
                # Attempts with the same id may have begun at different versions.
                origin, *others = set(found.values())
                is_known = origin is not None and not others
                return (origin.version, next(iter(found))) if is_known else (None, "unknown")
        version = self.history.only_version(service)
        return version, "unknown" if version is None else "only_version"

    @property
    def _must_read_again(self) -> bool:
        """Whether the reports were not read since the store came back from an older copy."""
        return self.history.reports_as_of < self._restored_at

    def _can_learn(self, attempt_id: str) -> bool:
        """Whether stored reports can still tell the version of an unknown stream."""
        return self.history.needs_reports and (bool(attempt_id) or not self.history.is_complete)

    def _wake(self) -> None:
        """Takes in changes, and wakes the take-ups that wait for them."""
        self.update()
        self._changed.set()
        self._changed = asyncio.Event()
