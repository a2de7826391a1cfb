"""Monitoring of the backend servers in the instance list."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from sapphireledge.backends import (
    CacheEventPoller,
    CallFailureCause,
    LoadPoller,
    normalize_software,
)
from sapphireledge.core.routing import BackendInstance, CacheEvent, LoadReport, ModelVersion
from sapphireledge.objects import InstanceKind, InstanceState
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sapphireledge.backends import CachePage, CallFailure
    from sapphireledge.backends import LoadReport as EngineReport
    from sapphireledge.core.routing import BackendView
    from sapphireledge.entry.backend_pool import BackendPool
    from sapphireledge.entry.suspect_exchange import SuspectExchange
    from sapphireledge.objects import Instance
    from sapphireledge.settings import Settings

__all__ = ["BackendMonitor"]

CACHE_POLL_RATIO = 4
"""Load polls per poll of cache events, which are polled less often because they are only hints."""


@dataclass(frozen=True, slots=True)
class _EnginePollers:
    """Poller tasks of one engine."""

    address: str
    tasks: tuple[asyncio.Task[None], ...]


class BackendMonitor:
    """Updates the view of the backend servers, with one task per engine and kind of poll."""

    def __init__(
        self,
        cfg: Settings,
        view: BackendView,
        pool: BackendPool,
        suspects: SuspectExchange,
    ) -> None:
        """Creates the monitor.

        Args:
            cfg: Settings of the instance.
            view: View of the backend servers, which is updated.
            pool: Provides the engine clients, and admits work after each load report.
            suspects: Receives leaving backend servers.
        """
        self._cfg = cfg
        self._view = view
        self._pool = pool
        self._suspects = suspects
        self._pollers: dict[str, _EnginePollers] = {}
        self._log = structlog.get_logger()

    def on_instances(self, instances: Iterable[Instance]) -> None:
        """Applies a new instance list.

        Args:
            instances: All instances in the list.
        """
        rows = [row for row in instances if row.kind is not InstanceKind.ENTRY]
        for row in rows:
            state = self._view.state(row.name)
            if row.state is InstanceState.LEAVING and state is not None and not state.leaving:
                self._log.info(LogEvent.BACKEND_LEAVING, backend=row.name, source="instance list")
        self._view.on_instances(time.monotonic(), [_to_backend(row) for row in rows])
        engines = {row.name: row for row in rows if row.kind is InstanceKind.ENGINE}
        self._suspects.prune_leaving(row.name for row in rows)
        for name in [name for name in self._pollers if name not in engines]:
            self._stop_pollers(name)
        for name, row in engines.items():
            pollers = self._pollers.get(name)
            if pollers is not None and pollers.address != row.address:
                self._stop_pollers(name)
            if name not in self._pollers:
                self._start_pollers(name, row.address)

    def stop(self) -> None:
        """Stops all pollers."""
        for name in list(self._pollers):
            self._stop_pollers(name)

    def _start_pollers(self, name: str, address: str) -> None:
        """Starts the pollers of one engine."""
        client = self._pool.get_client(address)
        interval = self._cfg.routing.poll_interval
        load = LoadPoller(
            client,
            interval,
            lambda report: self._on_report(name, report),
            lambda failure: self._on_poll_failed(name, failure),
        )
        cache = CacheEventPoller(
            client, interval * CACHE_POLL_RATIO, lambda page: self._on_cache_page(name, page)
        )
        loop = asyncio.get_running_loop()
        tasks = (loop.create_task(load.run()), loop.create_task(cache.run()))
        self._pollers[name] = _EnginePollers(address, tasks)

    def _stop_pollers(self, name: str) -> None:
        """Stops the pollers of one engine."""
        for task in self._pollers.pop(name).tasks:
            task.cancel()

    def _on_report(self, name: str, report: EngineReport) -> None:
        """Applies a load report."""
        now = time.monotonic()
        age = min(max(0.0, time.time() - report.time_unix), self._cfg.routing.report_expiry)
        if report.leaving:
            self._suspects.report_leaving(name)
        self._view.on_load(
            now,
            LoadReport(
                backend=name,
                boot_id=report.boot_id,
                as_of=now - age,
                running=report.running,
                waiting=report.queued,
                slots=report.slots,
                token_rate=report.tokens_per_second,
                models=tuple(ModelVersion(m.model, m.version) for m in report.models),
                role=report.role,
                adapters=tuple(a for m in report.models for a in m.adapters),
                leaving=report.leaving,
                software=normalize_software(report.software_version),
            ),
        )
        self._pool.admit_ready()

    def _on_poll_failed(self, name: str, failure: CallFailure) -> None:
        """Handles a failed load poll."""
        if failure.cause is CallFailureCause.NOT_CONNECTED:
            self._view.on_unreachable(time.monotonic(), name)

    def _on_cache_page(self, name: str, page: CachePage) -> None:
        """Applies a page of cache events."""
        now = time.monotonic()
        for event in page.events:
            blocks = tuple(int(block, 16) for block in event.blocks)
            stored = blocks if event.kind == "stored" else ()
            evicted = blocks if event.kind == "evicted" else ()
            self._view.on_cache_event(
                now, CacheEvent(name, page.boot_id, event.sequence, stored, evicted)
            )


def _to_backend(row: Instance) -> BackendInstance:
    """Converts a row of the instance list into the router's representation."""
    return BackendInstance(
        name=row.name,
        address=row.address,
        data_centre=row.data_centre,
        region=row.region,
        role=row.role or "drafting",
        leaving=row.state is InstanceState.LEAVING,
        reports_load=row.kind is InstanceKind.ENGINE,
    )
