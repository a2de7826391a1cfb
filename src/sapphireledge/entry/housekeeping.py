"""Periodic work of an instance."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from sapphireledge.entry.object_collector import ObjectCollector
from sapphireledge.telemetry import SEGMENT_PREFIX, LogEvent, MetricName

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
"""Seconds between two looks for answers and copies whose time is over."""

COLLECT_INTERVAL = 60.0
"""Seconds between two collections of old objects by one of two instances."""

EVENT_RETENTION = 86_400.0
"""Seconds for which event segments are kept."""


class Housekeeping:
    """Forgets answers whose time is over and deletes old objects of the platform."""

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
        """Creates the housekeeping; `run` starts it.

        Args:
            ctx: Parts that a generation needs; their gauges are sent.
            store: The platform's object API.
            registry: Answers that this instance owns.
            copies: Copies of other instances' answers.
            mesh: Links to other instances, whose number sets the interval.
            ledger: Usage of workspaces, which depends on who can be heard.
            rng: Random source of the jitter.
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
                store, SEGMENT_PREFIX, _is_expired_segment, self._collection_interval, rng
            ),
        )

    async def run(self) -> None:
        """Works until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_expiry())
            for collector in self._collectors:
                group.create_task(collector.run())

    async def _run_expiry(self) -> None:
        """Forgets answers and copies."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL)
            self._registry.expire(time.monotonic())
            self._copies.expire()
            self._update_coverage()
            self._report_metrics()

    def _update_coverage(self) -> None:
        """Scales the usage while some of the known instances cannot be heard."""
        live = {member.name for member in self._mesh.live}
        known = {member.name for member in self._mesh.members}
        now = time.monotonic()
        self._ledger.set_coverage(now, max(1, len(live)), max(1, len(known)), known - live)

    def _report_metrics(self) -> None:
        """Sends the gauges and reports events that were dropped since the last time."""
        metrics, pool = self._ctx.metrics, self._ctx.pool
        metrics.gauge(MetricName.RUNNING, pool.running)
        metrics.gauge(MetricName.QUEUED, pool.queued)
        dropped = self._ctx.events.dropped - self._reported_drops
        if dropped:
            self._reported_drops += dropped
            metrics.count(MetricName.EVENTS_DROPPED, dropped)
            self._log.warning(LogEvent.EVENTS_DROPPED, events=dropped)

    def _collection_interval(self) -> float:
        """Interval of the collections, so that their rate does not grow with the fleet."""
        return COLLECT_INTERVAL * max(1, len(self._mesh.live)) / 2


def _is_expired_segment(found: StoredObject, now_unix: float) -> bool:
    """Whether a segment's retention has passed; the key names the hour in which it was written."""
    bucket = found.key.removeprefix(SEGMENT_PREFIX).split("/", 1)[0]
    return bucket.isdecimal() and int(bucket) + 3600.0 + EVENT_RETENTION < now_unix
