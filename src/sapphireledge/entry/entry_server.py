"""An entry instance: creates, starts and stops its components in order."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from typing import TYPE_CHECKING

import structlog

from sapphireledge.backends import ConnectionPools
from sapphireledge.core.admission import UsageLedger
from sapphireledge.core.config import CONFIG_PREFIX, ChangeApplier, ConfigState, ObjectOutcome
from sapphireledge.core.membership import Member, rank_by_rendezvous
from sapphireledge.core.quarantine import Quarantine
from sapphireledge.core.replay import EventLog
from sapphireledge.core.routing import BackendView
from sapphireledge.entry.answer_context import AnswerContext
from sapphireledge.entry.answer_locator import AnswerLocator
from sapphireledge.entry.answer_registry import AnswerRegistry
from sapphireledge.entry.app import create_app
from sapphireledge.entry.backend_monitor import BackendMonitor
from sapphireledge.entry.backend_pool import BackendPool
from sapphireledge.entry.caller_server import CallerServer
from sapphireledge.entry.copy_store import CopyStore
from sapphireledge.entry.death_checker import DeathChecker
from sapphireledge.entry.engine_orders import EngineOrders
from sapphireledge.entry.entry_limits import EntryLimits
from sapphireledge.entry.entry_parts import EntryParts
from sapphireledge.entry.housekeeping import Housekeeping
from sapphireledge.entry.lifecycle import Lifecycle
from sapphireledge.entry.peer_bridge import PeerBridge
from sapphireledge.entry.peer_service import PeerService
from sapphireledge.entry.route_explainer import RouteExplainer
from sapphireledge.entry.service_runner import ServiceRunner
from sapphireledge.entry.suspect_exchange import SuspectExchange
from sapphireledge.errors import Failure
from sapphireledge.fleet import FleetController
from sapphireledge.limits import create_listening_socket
from sapphireledge.objects import (
    Instance,
    InstanceKind,
    InstanceState,
    InstanceWatcher,
    ObjectClient,
    PrefixWatcher,
    SegmentWriter,
)
from sapphireledge.operator import (
    DeclarationReader,
    EventReader,
    OperatorParts,
    OperatorServer,
    OrderDispatcher,
    PacedExplainer,
    StatusReporter,
)
from sapphireledge.peers import AnswerCopies, PeerMesh, PeerQueries, PeerServer
from sapphireledge.telemetry import LogEvent, MetricName, Metrics, Tracing

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from sapphireledge.objects import StoredObject
    from sapphireledge.settings import Settings

__all__ = ["EntryServer"]

DRAIN_POLL_INTERVAL = 0.05
"""Seconds between checks for requests in flight during a graceful shutdown."""

LEASE_RANKING_PREFIX = "fleet-lease/"
"""Prefix of the key by which the candidates for a data centre's lease are ranked."""

READY_POLL_INTERVAL = 0.02
"""Seconds between checks for a configuration at startup."""


class EntryServer:
    """An entry instance with all its components."""

    def __init__(self, cfg: Settings) -> None:
        """Creates all components; `run` starts them.

        Args:
            cfg: Settings of the instance.
        """
        self._cfg = cfg
        self._log = structlog.get_logger()
        self._rng = random.Random()
        self._tasks: list[asyncio.Task[Any]] = []
        self._instances: tuple[Instance, ...] = ()
        self.lifecycle = Lifecycle(cfg)
        """State of the process."""
        self._build_views(cfg)
        self._build_peers(cfg)
        self._build_backends(cfg)
        self._build_answers(cfg)
        self._build_servers(cfg)

    def _build_views(self, cfg: Settings) -> None:
        """Creates the state views and the clients of the platform."""
        self._metrics = Metrics(cfg)
        self._limits = EntryLimits(cfg.machine, self._metrics)
        self._tracing = Tracing(cfg)
        self._store = ObjectClient(cfg, self._count_platform_call)
        self._config = ConfigState()
        self._view = BackendView(cfg.routing, cfg.instance, cfg.data_centre, cfg.region)
        self.lifecycle.is_cut_off = lambda: self._view.is_cut_off
        self._ledger = UsageLedger(cfg.admission.usage_half_life)
        self._quarantine = Quarantine(cfg.quarantine)
        self._pools = ConnectionPools()
        self._config_watch = PrefixWatcher(
            self._store,
            CONFIG_PREFIX,
            cfg.platform,
            self._rng,
            self._on_config,
            self._on_reachability_changed,
            self._config.mark_synced_to,
        )
        self._instance_watch = InstanceWatcher(
            self._store, cfg.platform, self._rng, self._on_instances
        )

    def _build_peers(self, cfg: Settings) -> None:
        """Creates the peer mesh and the event log."""
        self._bridge = PeerBridge(
            self.lifecycle, self._config, self._ledger, self._view, self._is_platform_reachable
        )
        self._mesh = PeerMesh(
            cfg,
            self._list_members,
            self._bridge,
            self._bridge,
            self._bridge.apply_config,
            time.monotonic,
            self._rng,
        )
        # Event numbers restart with each process, so the recorder name includes the incarnation.
        recorder = f"{cfg.instance}/{self._mesh.incarnation[-8:]}"
        self._events = EventLog(recorder, cfg.telemetry.event_memory)
        self._copies = AnswerCopies(cfg.peers, self._mesh, time.monotonic)
        self._queries = PeerQueries(self._mesh, time.monotonic)
        self._suspects = SuspectExchange(self._quarantine, self._view, self._mesh, self._store)

    def _build_backends(self, cfg: Settings) -> None:
        """Creates admission, routing, backend monitoring and fleet control."""
        self._pool = BackendPool(
            cfg,
            self._config,
            self._view,
            self._ledger,
            self._quarantine,
            self._pools,
            self._suspects,
            self._metrics,
            self._rng,
            lambda: len(self._mesh.live),
        )
        self._bridge.connect(self._pool, self._suspects)
        self._monitor = BackendMonitor(cfg, self._view, self._pool, self._suspects)
        self._service_deaths = DeathChecker(
            self._view, self._quarantine, self._suspects, lambda: len(self._mesh.live)
        )
        self._services = ServiceRunner(
            cfg,
            self._store,
            self._view,
            self._pools,
            self._mesh,
            self._service_deaths,
            self._metrics,
            self._rng,
        )
        self._engine_orders = EngineOrders(cfg, self._view, self._pool, self._config)
        self._fleet = FleetController(
            cfg,
            self._store,
            self._engine_orders,
            self._engine_orders.build_fleet_snapshot,
            self._rng,
            self._is_lease_candidate,
        )

    def _build_answers(self, cfg: Settings) -> None:
        """Creates the registry of owned answers and the store of copies for other instances."""
        self._ctx = AnswerContext(
            cfg, self._pool, self._copies, self._events, self._metrics, self._tracing
        )
        self._registry = AnswerRegistry(self._ctx)
        self._copy_store = CopyStore(cfg)
        self._locator = AnswerLocator(
            cfg,
            self._registry,
            self._copy_store,
            self._mesh,
            self._queries,
            self._list_known_versions,
        )
        self._parts = EntryParts(
            cfg=cfg,
            ctx=self._ctx,
            config=self._config,
            registry=self._registry,
            locator=self._locator,
            services=self._services,
            mesh=self._mesh,
            lifecycle=self.lifecycle,
        )

    def _build_servers(self, cfg: Settings) -> None:
        """Creates the Thrift servers and the periodic tasks."""
        self._segments = SegmentWriter(
            cfg, self._events, self._store, self._mesh.incarnation, lambda: len(self._mesh.live)
        )
        self._peer_service = self._create_peer_service()
        self._peer_server = PeerServer(cfg, self._mesh, self._peer_service, self._limits.peers)
        self._operator_server = OperatorServer(
            cfg, self._collect_operator_parts(), self._limits.operators
        )
        self._housekeeping = Housekeeping(
            self._ctx,
            self._store,
            self._registry,
            self._copy_store,
            self._mesh,
            self._ledger,
            self._rng,
        )

    async def run(self) -> Failure | None:
        """Runs the instance until its graceful shutdown is complete.

        Returns:
            The reason why it could not start, otherwise None.
        """
        failure = await self._start_servers()
        if failure is not None:
            await self._close()
            return failure
        http_server, sock = self._create_http_server()
        http_task = asyncio.create_task(http_server.serve(sockets=[sock]))
        self._start_background_tasks()
        ready_task = asyncio.create_task(self._become_ready())
        await self.lifecycle.drain_requested.wait()
        ready_task.cancel()
        await self._drain()
        http_server.should_exit = True
        await http_task
        await self._close()
        self.lifecycle.mark_stopped()
        return None

    async def _start_servers(self) -> Failure | None:
        """Starts the Thrift servers."""
        for server in (self._peer_server, self._operator_server):
            failure = await server.start()
            if failure is not None:
                return failure
        return None

    def _create_http_server(self) -> tuple[CallerServer, socket.socket]:
        """Creates the HTTP server of the caller interface and its listening socket."""
        address = self._cfg.caller_address
        sock = create_listening_socket(address.host, address.port)
        server = CallerServer(create_app(self._parts), self._cfg.callers, self._limits.callers)
        return server, sock

    def _start_background_tasks(self) -> None:
        """Starts the background tasks."""
        peer_address = f"{self._cfg.peer_address.host}:{self._peer_server.port}"
        self._mesh.start(peer_address)
        self._copies.start()
        quarantine_watch = PrefixWatcher(
            self._store, "quarantine/", self._cfg.platform, self._rng, self._suspects.on_stored
        )
        for coroutine in (
            self._config_watch.run(),
            quarantine_watch.run(),
            self._instance_watch.run(),
            self._pool.run(),
            self._services.run(),
            self._fleet.run(),
            self._segments.run(),
            self._housekeeping.run(),
        ):
            self._spawn(coroutine)

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Starts a task that runs until the instance stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Logs the exception of a failed task."""
        if not task.cancelled() and task.exception() is not None:
            self._log.error(LogEvent.INTERNAL_ERROR, exc_info=task.exception())

    async def _become_ready(self) -> None:
        """Marks the instance ready once its configuration is as new as any known to peers."""
        while not self._config.is_ready:
            await asyncio.sleep(READY_POLL_INTERVAL)
        self.lifecycle.mark_ready()

    async def _drain(self) -> None:
        """Refuses new work after the balancer delay, then waits for the work in progress.

        Waits at most `drain_limit` for requests in flight, then at most twice the platform timeout
        until outcomes and events are stored.
        """
        await self.lifecycle.refuse_after_balancer_delay()
        deadline = time.monotonic() + self._cfg.lifecycle.drain_limit
        while time.monotonic() < deadline and self._is_busy():
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._cfg.platform.timeout * 2):
                await self._services.settle()
                await self._segments.flush()

    def _is_busy(self) -> bool:
        """Whether any request is in flight or any answer is still being copied."""
        return bool(self._registry.running or self._copies.running or self._services.running)

    async def _close(self) -> None:
        """Cancels all tasks and closes all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._monitor.stop()
        await self._copies.stop()
        await self._mesh.stop()
        await self._operator_server.stop()
        await self._peer_server.stop()
        await self._pools.close()
        self._tracing.close()

    def _create_peer_service(self) -> PeerService:
        """Creates the handler of the peer interface."""
        return PeerService(
            self._cfg.instance,
            self._registry,
            self._copy_store,
            self._config,
            self._events,
            self._services.received_keys,
            lambda: [member.name for member in self._mesh.members],
            lambda delay, callback: asyncio.get_running_loop().call_later(delay, callback),
        )

    def _collect_operator_parts(self) -> OperatorParts:
        """Collects the components that the operator interface uses."""
        return OperatorParts(
            secret=self._cfg.operator_secret or self._cfg.fleet_secret,
            applier=ChangeApplier(self._store, self._cfg.platform),
            declarations=DeclarationReader(self._store),
            reporter=StatusReporter(
                self._parts, self._view, self._ledger, self._is_platform_reachable
            ),
            events=EventReader(self._peer_service, self._mesh, self._store),
            quarantine=self._quarantine,
            suspects=self._suspects,
            orders=OrderDispatcher(self._fleet, self._view, self._config),
            lifecycle=self.lifecycle,
            explainer=PacedExplainer(RouteExplainer(self._parts, self._view, self._quarantine)),
            instance=self._cfg.instance,
        )

    def _list_known_versions(self, model: str) -> list[str]:
        """Lists the versions of a model that are declared or loaded on any engine."""
        versions = dict.fromkeys(self._config.index.versions_of(model))
        for state in self._view.states():
            models = state.report.models if state.report is not None else ()
            versions.update(dict.fromkeys(m.version for m in models if m.model == model))
        return list(versions)

    def _is_lease_candidate(self) -> bool:
        """Whether this instance should try to hold its data centre's lease for orders.

        Only the first two by rendezvous hash try, which limits the reads of the lease object;
        the lease itself ensures that there is at most one holder.
        """
        names = [m.name for m in self._mesh.live if m.data_centre == self._cfg.data_centre]
        ranked = rank_by_rendezvous(LEASE_RANKING_PREFIX + self._cfg.data_centre, names)
        return self.lifecycle.state == "ready" and self._cfg.instance in ranked[:2]

    def _list_members(self) -> list[Member]:
        """Lists the entry instances in the platform's instance list."""
        return [
            Member(
                row.name,
                row.data_centre,
                row.region,
                row.address,
                row.state is InstanceState.LEAVING,
            )
            for row in self._instances
            if row.kind is InstanceKind.ENTRY
        ]

    def _on_config(self, stored: StoredObject) -> None:
        """Applies a stored declaration."""
        outcome = self._config.apply(stored)
        if outcome is ObjectOutcome.APPLIED:
            self._log.info(LogEvent.CONFIG_APPLIED, key=stored.key, version=stored.version)
        elif outcome is ObjectOutcome.REJECTED:
            reason = self._config.rejected[stored.key].reason
            self._log.error(
                LogEvent.CONFIG_REJECTED, key=stored.key, version=stored.version, reason=reason
            )

    def _on_instances(self, instances: tuple[Instance, ...]) -> None:
        """Applies a new instance list."""
        self._instances = tuple(instances)
        self._service_deaths.on_listed({instance.name for instance in instances})
        self._monitor.on_instances(instances)

    def _count_platform_call(self, operation: str, result: str) -> None:
        """Counts a call to the platform in the metrics."""
        self._metrics.count(MetricName.PLATFORM_CALLS, 1, f"{operation}.{result}")

    def _is_platform_reachable(self) -> bool:
        """Whether the last platform call of the configuration watch succeeded."""
        return bool(self._config_watch.reachable)

    def _on_reachability_changed(self, reachable: bool) -> None:
        """Logs a change of the platform's reachability."""
        if reachable:
            self._log.info(LogEvent.PLATFORM_BACK)
        else:
            self._log.warning(LogEvent.PLATFORM_LOST)
