"""Applies the crash reports of all instances to the quarantine."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.quarantine import CrashReport
from sapphireledge.errors import Failure
from sapphireledge.gateway import GatewayEvent

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed import StoredEntry
    from sapphireledge.gateway import CrashGuard

__all__ = ["CrashReportListener"]

MAX_CLOCK_LEAD = 30.0
"""Seconds by which a record may be ahead of the local time of day; one that is further ahead has a
wrong time and is ignored, because it would stay in force for too long."""


class CrashReportListener:
    """Implements `KindListener` for crash reports.

    A removed report stays in force until its deaths expire.
    """

    def __init__(self, crashes: CrashGuard) -> None:
        self._crashes = crashes
        self._log = structlog.get_logger()

    def replace_all(self, entries: Sequence[StoredEntry]) -> None:
        """Applies a full listing; see `KindListener.replace_all`."""
        self.apply(entries)

    def apply(self, entries: Sequence[StoredEntry]) -> None:
        """Applies changes; see `KindListener.apply`."""
        now = time.time()
        changed = False
        for entry in entries:
            if entry.removed:
                continue
            report = CrashReport.from_builtins(entry.spec)
            if isinstance(report, Failure):
                self._log.warning(
                    GatewayEvent.REPORT_REJECTED, report=entry.name, reason=report.reason
                )
                continue
            changed |= self._apply_report(now, report)
        if changed:
            self._crashes.on_changed()

    def confirm(self, as_of: float) -> None:
        """Does nothing: a verdict never depends on the age of the reports."""

    def on_store_recovered(self, outage: float) -> None:
        """Does nothing: reports do not expire in the store."""

    def on_store_restored(self) -> None:
        """Does nothing: reports that the store has lost stay in force until their deaths expire."""

    def _apply_report(self, now: float, report: CrashReport) -> bool:
        """Applies one report; returns whether it held anything new."""
        quarantine = self._crashes.quarantine
        changed = False
        for clearing in report.clearings:
            if clearing.time_unix <= now + MAX_CLOCK_LEAD:
                changed |= quarantine.on_cleared(now, clearing)
        for death in report.deaths:
            if death.time_unix <= now + MAX_CLOCK_LEAD:
                changed |= quarantine.on_engine_death(now, death)
        if changed:
            self._crashes.on_news()
        return changed
