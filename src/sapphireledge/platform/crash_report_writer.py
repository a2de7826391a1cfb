"""Writes the deaths and clearings that this instance detected to the store."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.quarantine import CrashReport
from sapphireledge.errors import Failure
from sapphireledge.feed import SourceError
from sapphireledge.gateway import GatewayEvent, wait_for_event

if TYPE_CHECKING:
    from sapphireledge.core.quarantine import ClearingRecord, DeathRecord
    from sapphireledge.gateway import CrashGuard
    from sapphireledge.platform.store_client import StoreClient

__all__ = ["CRASH_REPORT_KIND", "CrashReportWriter"]

CRASH_REPORT_KIND = "crash-reports"
"""Kind of the objects that hold the crash reports, one for each instance."""

DEATH_INTERVAL = 0.4
"""Seconds between two writes because of deaths. The first death of a series is written at once: the
caller of a request that crashed an engine may send it again to another instance."""

SURVIVAL_DELAY = 0.5
"""Seconds after a survival or a clearing during which further news are collected. Other instances
often share the same one in the meantime."""

RETRY_BASE = 0.2
"""First delay in seconds after a failed write."""

RETRY_CAP = 2.0
"""Maximum delay in seconds after failed writes; with the time of a call it stays below the 4 s
within which all instances must know what crashes engines."""


class CrashReportWriter:
    """Keeps the crash report of this instance up to date.

    The report of an earlier incarnation of the instance is continued, because its deaths still
    count. Each version replaces the last one known, so no death is lost to a racing writer.
    """

    def __init__(self, store: StoreClient, crashes: CrashGuard, instance: str) -> None:
        """Creates a writer and registers it with the guard.

        Args:
            store: Client that nothing else uses.
            crashes: Source of deaths and clearings.
            instance: Name of this instance.
        """
        self._store = store
        self._crashes = crashes
        self._instance = instance
        self._report = CrashReport()
        self._stored: CrashReport | None = None
        self._revision: int | None = None
        self._next_write_at = 0.0
        self._death_news = asyncio.Event()
        self._news = asyncio.Event()
        self._rng = Random()
        self._log = structlog.get_logger()
        crashes.on_death = self._add_death
        crashes.on_clearing = self._add_clearing
        crashes.on_news = self._news.set

    async def run(self) -> None:
        """Writes news until the task is cancelled."""
        while True:
            await self._wait_for_news()
            try:
                await self._write_until_stored()
            except Exception as exc:
                # Later deaths must still be shared.
                self._log.error(GatewayEvent.INTERNAL_ERROR, kind=CRASH_REPORT_KIND, exc_info=exc)

    def on_store_restored(self) -> None:
        """Writes the report again, as the store may have lost it or its latest version."""
        self._stored = None
        self._revision = None
        self._death_news.set()
        self._news.set()

    def _add_death(self, record: DeathRecord) -> None:
        """Adds a death that this instance detected."""
        self._add(CrashReport(deaths=(record,)))
        self._death_news.set()
        self._news.set()

    def _add_clearing(self, record: ClearingRecord) -> None:
        """Adds a clearing of a request that was answered completely."""
        self._add(CrashReport(clearings=(record,)))
        self._news.set()

    def _add(self, news: CrashReport) -> None:
        """Merges news into the report and drops what has expired."""
        oldest = time.time() - self._crashes.retention
        self._report = self._report.merge(news, oldest)

    async def _wait_for_news(self) -> None:
        """Waits for news and collects further ones; deaths are written sooner than clearings."""
        await self._news.wait()
        delay = SURVIVAL_DELAY * self._rng.uniform(1.0, 2.0)
        if await wait_for_event(self._death_news, delay):
            await asyncio.sleep(self._next_write_at - asyncio.get_running_loop().time())
        self._news.clear()
        self._death_news.clear()

    async def _write_until_stored(self) -> None:
        """Writes the report, if it has changed, until the store confirms it."""
        clearings = self._crashes.quarantine.take_clearings(time.time())
        self._add(CrashReport(clearings=clearings))
        failures = 0
        while self._report != (self._stored or CrashReport()):
            report = self._report
            try:
                version = await self._store.write(
                    CRASH_REPORT_KIND, self._instance, report.to_builtins(), self._revision
                )
            except SourceError as exc:
                if not failures:
                    self._log.warning(GatewayEvent.REPORT_DELAYED, reason=str(exc))
                delay = min(RETRY_CAP, RETRY_BASE * 2 ** min(failures, 8))
                failures += 1
                # A write without a response may have taken effect.
                await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
                continue
            self._revision = version.revision
            self._next_write_at = asyncio.get_running_loop().time() + DEATH_INTERVAL
            if version.written:
                self._stored = report
                self._log.info(
                    GatewayEvent.REPORT_SHARED,
                    deaths=len(report.deaths),
                    clearings=len(report.clearings),
                    revision=version.revision,
                )
            else:
                self._take_over(version.spec)

    def _take_over(self, spec: object) -> None:
        """Continues the report that the store holds under the name of this instance."""
        stored = CrashReport.from_builtins(spec)
        if isinstance(stored, Failure):
            self._log.warning(
                GatewayEvent.REPORT_REJECTED, report=self._instance, reason=stored.reason
            )
            return
        self._stored = stored
        self._add(stored)
