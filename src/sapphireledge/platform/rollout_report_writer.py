"""Writes the counts of this instance about roll-outs to the store."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import structlog

from sapphireledge.feed import SourceError
from sapphireledge.gateway import GatewayEvent

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.rollout import RolloutReport
    from sapphireledge.gateway import RolloutGuard
    from sapphireledge.platform.store_client import StoreClient

__all__ = ["ROLLOUT_REPORT_KIND", "RolloutReportWriter"]

ROLLOUT_REPORT_KIND = "rollout-reports"
"""Kind of the objects that hold the counts, one for each instance."""

CHECK_INTERVAL = 0.1
"""Seconds between two checks of whether a report is due; part of the time in which bad answers
must reach the other instances."""

RETRY_BASE = 0.2
"""First delay in seconds after a failed write."""

RETRY_CAP = 1.0
"""Maximum delay in seconds after failed writes. The new version is not used while reports cannot
be written, so a longer one would delay the roll-out."""


class RolloutReportWriter:
    """Keeps the reports of this instance up to date while orders are running.

    One object holds the reports on all orders. What an earlier incarnation of the instance wrote is
    replaced: readers tell the incarnations apart.
    """

    def __init__(self, store: StoreClient, rollouts: RolloutGuard, instance: str) -> None:
        """Creates a writer.

        Args:
            store: Client that nothing else uses.
            rollouts: Source of the reports.
            instance: Name of this instance.
        """
        self._store = store
        self._rollouts = rollouts
        self._instance = instance
        self._revision: int | None = None
        self._failures = 0
        self._rng = Random()
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Writes reports until the task is cancelled."""
        while True:
            if not self._rollouts.is_active:
                await self._rollouts.wait_until_active()
            try:
                reports = self._rollouts.due_reports()
                if reports is not None:
                    await self._write(reports)
            except Exception as exc:
                # Later counts must still be shared.
                self._log.error(GatewayEvent.INTERNAL_ERROR, kind=ROLLOUT_REPORT_KIND, exc_info=exc)
            await asyncio.sleep(CHECK_INTERVAL)

    def on_store_restored(self) -> None:
        """Accepts any version of the object, as the store may have lost it."""
        self._revision = None

    async def _write(self, reports: Mapping[str, RolloutReport]) -> None:
        """Writes reports; after a failure the next ones follow soon."""
        spec = [report.to_builtins() for report in reports.values()]
        try:
            version = await self._store.write(
                ROLLOUT_REPORT_KIND, self._instance, spec, self._revision
            )
            if not version.written:
                # The object is of an earlier incarnation, or a write without a response was done.
                version = await self._store.write(
                    ROLLOUT_REPORT_KIND, self._instance, spec, version.revision
                )
        except SourceError as exc:
            if not self._failures:
                self._log.warning(GatewayEvent.ROLLOUT_REPORT_DELAYED, reason=str(exc))
            delay = min(RETRY_CAP, RETRY_BASE * 2 ** min(self._failures, 8))
            self._failures += 1
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            return
        self._revision = version.revision
        if version.written:
            self._failures = 0
            self._rollouts.on_reports_written(reports)
