"""Writes the origins of the streams of this instance to the store."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.origins import OriginReport
from sapphireledge.errors import Failure
from sapphireledge.feed import SourceError
from sapphireledge.gateway import GatewayEvent, wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway import OriginTelemetry, StreamOrigins
    from sapphireledge.platform.store_client import StoreClient

__all__ = ["STREAM_ORIGIN_KIND", "StreamOriginWriter"]

STREAM_ORIGIN_KIND = "stream-origins"
"""Kind of the objects that hold origins, one for each instance, and one for all of them."""

FLEET_SHARE = 0.25
"""Share of the writes that the store takes which the origins of all instances may need."""

MIN_INTERVAL = 0.3
"""Shortest time in seconds between two writes. The first origin after a pause is written at once:
its instance may lose power at any moment."""

MAX_INTERVAL = 4.0
"""Longest time in seconds between two writes."""

CHECK_INTERVAL = 1.0
"""Seconds between two checks of whether versions are still mixed."""

RETRY_BASE = 0.2
"""First delay in seconds after a failed write."""

RETRY_CAP = 2.0
"""Maximum delay in seconds after failed writes."""


class StreamOriginWriter:
    """Keeps the stored origins of this instance up to date while versions are mixed.

    Origins that an earlier incarnation wrote are continued. Afterwards, the report is emptied.
    """

    def __init__(
        self,
        store: StoreClient,
        origins: StreamOrigins,
        telemetry: OriginTelemetry,
        instance: str,
        count_instances: Callable[[], int],
        writes_per_second: float,
    ) -> None:
        """Creates a writer and registers it with the origins.

        Args:
            store: Client that nothing else uses.
            origins: Source of the reports.
            telemetry: Metrics.
            instance: Name of this instance.
            count_instances: Returns the number of instances that share the store.
            writes_per_second: Writes that the store takes from all instances together.
        """
        self._store = store
        self._fleet_writes = FLEET_SHARE * writes_per_second
        self._origins = origins
        self._telemetry = telemetry
        self._instance = instance
        self._count_instances = count_instances
        self._stored = OriginReport()
        self._revision: int | None = None
        self._has_written = False
        self._next_write_at = 0.0
        self._rng = Random()
        self._log = structlog.get_logger()
        origins.on_own_report = self._on_own_report

    async def run(self) -> None:
        """Writes origins until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            origins = self._origins
            if origins.is_mixed or origins.is_active:
                await wait_for_event(origins.news, CHECK_INTERVAL)
            else:
                await origins.news.wait()
            try:
                origins.update()
                if self._needs_write():
                    await asyncio.sleep(self._next_write_at - loop.time())
                    origins.news.clear()
                    await self._write_until_stored()
                else:
                    origins.news.clear()
            except Exception as exc:
                # Later origins must still be shared.
                self._log.error(GatewayEvent.INTERNAL_ERROR, kind=STREAM_ORIGIN_KIND, exc_info=exc)
                await asyncio.sleep(RETRY_CAP)

    def on_store_restored(self) -> None:
        """Writes the report again, as the store may have lost it or its latest version."""
        self._stored = OriginReport()
        self._revision = None
        self._has_written = False
        self._origins.news.set()

    def _on_own_report(self, report: OriginReport) -> None:
        """Takes in what an earlier incarnation has stored."""
        if not self._has_written:
            self._stored = report
            self._origins.news.set()

    def _needs_write(self) -> bool:
        """Whether the store lacks something that this instance has to share, or has too much."""
        report = self._origins.make_report()
        return report.adds_to(self._stored) or (report.is_empty and not self._stored.is_empty)

    async def _write_until_stored(self) -> None:
        """Writes the report until the store confirms it, or it is not needed any more."""
        failures = 0
        while self._needs_write():
            report = self._origins.make_report()
            try:
                version = await self._store.write(
                    STREAM_ORIGIN_KIND, self._instance, report.to_builtins(), self._revision
                )
            except SourceError as exc:
                if not failures:
                    self._log.warning(
                        GatewayEvent.ORIGINS_DELAYED, report=self._instance, reason=str(exc)
                    )
                delay = min(RETRY_CAP, RETRY_BASE * 2 ** min(failures, 8))
                failures += 1
                # A write without a response may have taken effect.
                await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
                continue
            self._has_written = True
            self._revision = version.revision
            if version.written:
                self._on_written(report)
                return
            self._take_over(version.spec)

    def _on_written(self, report: OriginReport) -> None:
        """Records what the store holds now."""
        count = sum(map(len, report.origins.values()))
        if self._stored.is_empty or report.is_empty:
            self._log.info(GatewayEvent.ORIGINS_SHARED, origins=count, revision=self._revision)
        known = {digest for digests in self._stored.origins.values() for digest in digests}
        written = {digest for digests in report.origins.values() for digest in digests}
        self._telemetry.record_written(len(written - known))
        self._stored = report
        interval = min(
            max(MIN_INTERVAL, self._count_instances() / self._fleet_writes), MAX_INTERVAL
        )
        self._next_write_at = asyncio.get_running_loop().time() + interval

    def _take_over(self, spec: object) -> None:
        """Continues the report that the store holds under the name of this instance."""
        stored = OriginReport.from_builtins(spec)
        if isinstance(stored, Failure):
            self._log.warning(
                GatewayEvent.ORIGINS_REJECTED, report=self._instance, reason=stored.reason
            )
            # Differs from an empty report, which therefore replaces it.
            stored = OriginReport({"": frozenset({""})})
        self._stored = stored
        self._origins.on_reports({self._instance: stored}, is_listing=False)
