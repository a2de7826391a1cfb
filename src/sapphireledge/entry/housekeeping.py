"""Periodic maintenance of an instance."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from sapphireledge.entry.object_collector import ObjectCollector
from sapphireledge.objects import SEGMENT_PREFIX
from sapphireledge.telemetry import LogEvent, MetricName

if TYPE_CHECKING:
    from random import Random

    from sapphireledge.core.admission import UsageLedger
    from sapphireledge.entry.answer_context import AnswerContext
    from sapphireledge.entry.answer_registry import AnswerRegistry
    from sapphireledge.entry.copy_store import CopyStore
    from sapphireledge.objects import ObjectStore, StoredObject
    from sapphireledge.peers import PeerMesh

__all__ = ["Housekeeping"]

EXPIRE_INTERVAL = 1.0
"""Seconds between removals of expired answers and copies."""

COLLECT_INTERVAL = 60.0
"""Seconds between collections of expired objects by each instance in a fleet of two."""

EVENT_RETENTION = 86_400.0
"""Retention of event segments in seconds."""


class Housekeeping:
    """Removes expired answers and copies, deletes expired event segments and reports gauges."""

    def __init__(
        self,
        ctx: AnswerContext,
        store: ObjectStore,
        registry: AnswerRegistry,
        copies: CopyStore,
        mesh: PeerMesh,
        ledger: UsageLedger,
        rng: Random,
    ) -> None:
        """Creates the housekeeping tasks; `run` starts them.

        Args:
            ctx: Components that a generation uses, whose gauges are reported.
            store: The platform's object API.
            registry: Answers that this instance owns.
            copies: Copies of other instances' answers.
            mesh: Connections to the other entry instances; their number determines the interval.
            ledger: Usage of workspaces, which is scaled by the share of reachable instances.
            rng: Random number generator for jitter.
        """
        self._ctx = ctx
        self._reported_drops = 0
        self._log = structlog.get_logger()
        self._registry = registry
        self._copies = copies
        self._mesh = mesh
        self._ledger = ledger
        self._collectors = (
            ObjectCollector(
                store, SEGMENT_PREFIX, _is_expired_segment, self._compute_collection_interval, rng
            ),
        )

    async def run(self) -> None:
        """Runs all tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_expiry())
            for collector in self._collectors:
                group.create_task(collector.run())

    async def _run_expiry(self) -> None:
        """Removes expired answers and copies, and updates coverage and gauges."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL)
            self._registry.expire(time.monotonic())
            self._copies.expire()
            self._update_coverage()
            self._report_metrics()

    def _update_coverage(self) -> None:
        """Scales the usage while some known instances are unreachable."""
        live = {member.name for member in self._mesh.live}
        known = {member.name for member in self._mesh.members}
        now = time.monotonic()
        self._ledger.set_coverage(now, max(1, len(live)), max(1, len(known)), known - live)

    def _report_metrics(self) -> None:
        """Reports the gauges and the events dropped since the last report."""
        metrics, pool = self._ctx.metrics, self._ctx.pool
        metrics.gauge(MetricName.RUNNING, pool.running)
        metrics.gauge(MetricName.QUEUED, pool.queued)
        dropped = self._ctx.events.dropped - self._reported_drops
        if dropped:
            self._reported_drops += dropped
            metrics.count(MetricName.EVENTS_DROPPED, dropped)
            self._log.warning(LogEvent.EVENTS_DROPPED, events=dropped)

    def _compute_collection_interval(self) -> float:
        """Returns the collection interval, which keeps the total rate independent of fleet size."""
        return COLLECT_INTERVAL * max(1, len(self._mesh.live)) / 2


def _is_expired_segment(found: StoredObject, now_unix: float) -> bool:
    """Whether a segment has expired; its key starts with the time of the hour it was written in."""
    bucket = found.key.removeprefix(SEGMENT_PREFIX).split("/", 1)[0]
    return bucket.isdecimal() and int(bucket) + 3600.0 + EVENT_RETENTION < now_unix
