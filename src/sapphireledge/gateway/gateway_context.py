"""Components shared by all requests of a gateway."""

from __future__ import annotations

import asyncio
from copy import copy, deepcopy
from random import Random
from typing import TYPE_CHECKING, TypeVar

import structlog

from sapphireledge.core.placement import FirstEventEstimator, GenerationEstimator
from sapphireledge.core.quarantine import ServiceSize
from sapphireledge.core.shared_load import SharedLoad, SharedLoadLimits
from sapphireledge.core.shedding import LoadShedder, SheddingLimits
from sapphireledge.gateway.backend_reachability import BackendReachability
from sapphireledge.gateway.backend_registry import BackendRegistry
from sapphireledge.gateway.connection_pool import ConnectionPool
from sapphireledge.gateway.crash_guard import CrashGuard
from sapphireledge.gateway.engine_copy_client import EngineCopyClient
from sapphireledge.gateway.engine_report_client import EngineReportClient
from sapphireledge.gateway.gateway_event import GatewayEvent
from sapphireledge.gateway.load_exchange import LoadExchange
from sapphireledge.gateway.outcome import MISDIRECTED, Outcome, OutcomeKind
from sapphireledge.gateway.prompt_memory import PromptMemory
from sapphireledge.gateway.retry_allowance import RetryAllowance
from sapphireledge.gateway.rollout_guard import RolloutGuard
from sapphireledge.gateway.stream_origins import StreamOrigins

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Coroutine, Mapping
    from typing import Any

    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_request import CallerRequest
    from sapphireledge.gateway.decision_trace import DecisionTrace
    from sapphireledge.gateway.dialect import Dialect
    from sapphireledge.gateway.gateway_settings import GatewaySettings
    from sapphireledge.gateway.request_telemetry import RequestTelemetry
    from sapphireledge.gateway.response_head import ResponseHead

__all__ = ["GatewayContext"]

SHEDDING_LIMITS = SheddingLimits()
"""Limits of load shedding."""

State = TypeVar("State")


class GatewayContext:
    """Settings, backend registry, connection pool and retry budgets of one instance."""

    def __init__(self, cfg: GatewaySettings, dialect: Dialect, telemetry: RequestTelemetry) -> None:
        self.cfg = cfg
        """Settings of the instance."""

        self.dialect = dialect
        """Encoder and decoder of the platform's headers."""

        self.telemetry = telemetry
        """Logging and metrics of requests."""

        self.registry = BackendRegistry(cfg.data_centre, cfg.instance)
        """Known backend servers and their state."""

        self.count_instances: Callable[[], int] = lambda: 1
        """Returns the number of instances that share retry budgets and connection limits."""

        self.pool = ConnectionPool(lambda: self.count_instances())
        """Pool of connections to backend servers."""

        self.pool.on_response = self._on_response

        self.reachability = BackendReachability(self.registry)
        """Knows whether this instance is cut off from all backend servers."""

        self.pool.on_connect = lambda server, is_open: self.reachability.on_connect(
            server, is_open=is_open
        )

        self.report_client = EngineReportClient(self.pool, dialect, self.reachability.on_failure)
        """Client for load reports and cache listings of engines."""

        self.origins = StreamOrigins(self.registry, telemetry.origins, cfg.instance)
        """Knows which software version began a stream."""

        self.registry.on_removed = self._on_server_removed

        self.copies = EngineCopyClient(self.pool, dialect)
        """Client for copies of running generations."""

        self.transfers = 0
        """Transfers of copies that have not ended."""

        self.count_waiting: Callable[[str], int] = lambda _: 0
        """Returns the number of streams of a service that wait at this instance."""

        self._background_tasks: set[asyncio.Task[None]] = set()

        self.crashes = CrashGuard(cfg.quarantine, telemetry)
        """Keeps requests that crash backend servers away from them."""

        self.crashes.measure_service = self._measure_service
        self.crashes.reaches_another = self.reachability.reaches_another

        self.rollouts = RolloutGuard(cfg, self.registry, telemetry.rollouts)
        """Keeps attempts to the versions that they may use."""

        self.on_first_event: Callable[[BackendServer], None] = lambda _: None
        """Called with an engine that sent the first event of a stream."""

        self.is_stopping: Callable[[], bool] = lambda: False
        """Returns whether the instance is shutting down."""

        self.shared_load = SharedLoad(SharedLoadLimits())
        """Load that the other instances of the data centre have seen."""

        self.load_exchange = LoadExchange(cfg.instance, self.shared_load, telemetry.load)
        """Encodes the load that this instance has seen, and decodes that of others."""

        self._shedders: dict[str, LoadShedder] = {}
        self._allowances: dict[str, RetryAllowance] = {}
        self._estimators: dict[str, FirstEventEstimator] = {}
        self._prompt_memories: dict[str, PromptMemory] = {}
        self._generation_estimators: dict[str, GenerationEstimator] = {}

    def retry_allowance(self, service: str) -> RetryAllowance:
        """Returns this instance's share of a service's retry budget.

        Args:
            service: Name of the service.

        Returns:
            The allowance, created on first use.
        """
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = RetryAllowance(self.cfg, lambda: self.count_instances())
            self._allowances[service] = allowance
        return allowance

    def load_shedder(self, service: str) -> LoadShedder:
        """Returns the load shedding of a service's plain requests.

        Args:
            service: Name of the service.

        Returns:
            The shedder, created on first use.
        """
        shedder = self._shedders.get(service)
        if shedder is None:
            shedder = LoadShedder(
                SHEDDING_LIMITS, Random(), lambda now: self.shared_load.service(now, service)
            )
            self._shedders[service] = shedder
            self.load_exchange.add_shedder(service, shedder)
        return shedder

    def first_event_estimator(self, service: str) -> FirstEventEstimator:
        """Returns the estimate of the time to the first event of a service's streams.

        Args:
            service: Name of the service.

        Returns:
            The estimator, created on first use.
        """
        return self._estimators.setdefault(service, FirstEventEstimator())

    def generation_estimator(self, service: str) -> GenerationEstimator:
        """Returns the estimate of the time that a service's engines generate a stream.

        Args:
            service: Name of the service.

        Returns:
            The estimator, created on first use.
        """
        return self._generation_estimators.setdefault(service, GenerationEstimator())

    def prompt_memory(self, service: str) -> PromptMemory:
        """Returns what is known about the prompts that the engines of a service keep.

        Args:
            service: Name of the service.

        Returns:
            The memory, created on first use.
        """
        memory = self._prompt_memories.get(service)
        if memory is None:
            memory = self._prompt_memories[service] = PromptMemory(self, service)
        return memory

    def retain_services(self, services: Collection[str]) -> None:
        """Forgets what is known about services that are neither configured nor run.

        Their names come and go with the configuration, so there is no end of them.

        Args:
            services: Names of the configured services.
        """
        self.registry.retain_services(services)
        known = {*services, *self.registry.services()}
        for state in (
            self._shedders,
            self._allowances,
            self._estimators,
            self._prompt_memories,
            self._generation_estimators,
        ):
            for name in state.keys() - known:
                del state[name]
        self.load_exchange.retain_shedders(known)

    def is_running(self, server: BackendServer) -> bool:
        """Whether an incarnation of a server is believed to run on and is not leaving.

        An entry that came back after the death of its server was recorded shows that the server had
        not died.

        Args:
            server: The server as it was described earlier.

        Returns:
            Whether it is.
        """
        state = self.registry.state(server.server_id)
        return (
            state is not None
            and not state.server.is_restart_of(server)
            and not state.backpressure.is_leaving
            and not self.crashes.has_died_since(server, state.added_unix)
        )

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts work that goes on beside the requests.

        Args:
            work: The work; an unexpected exception is logged.
        """
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._on_background_task_ended)

    def _on_background_task_ended(self, task: asyncio.Task[None]) -> None:
        """Forgets a task, and logs an unexpected exception."""
        self._background_tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            structlog.get_logger().error(GatewayEvent.INTERNAL_ERROR, exc_info=exc)

    async def release_copy(self, source: BackendServer, handle: str) -> None:
        """Gives up a copy of a generation; if that fails, the copy expires.

        Args:
            source: Engine that made the copy.
            handle: Id of the copy.
        """
        reason = await self.copies.release(source, handle)
        self.telemetry.record_release(source, reason)

    def copy_for(
        self, service: str, request: CallerRequest, telemetry: DecisionTrace
    ) -> GatewayContext:
        """Copies what the choice of a server for one request reads and changes.

        Quarantine, pool and report client are shared: a choice only reads the first, and one that
        is not carried out does not use the others.

        Args:
            service: Name of the service.
            request: The request.
            telemetry: Receives what a choice reports.

        Returns:
            Components for choices that are not carried out.
        """
        copied = copy(self)
        copied.telemetry = telemetry
        copied.registry = self.registry.copy_for(service)
        copied.rollouts = self.rollouts.copy_for(service, copied.registry)
        copied.shared_load = shared = self.shared_load.copy()
        copied._shedders = _copy_entry(self._shedders, service)
        for shedder in copied._shedders.values():
            shedder.read_load_from(lambda now: shared.service(now, service))
        copied._estimators = _copy_entry(self._estimators, service)
        copied._generation_estimators = _copy_entry(self._generation_estimators, service)
        copied._allowances = {}
        copied._prompt_memories = {
            name: memory.copy_for(copied, request)
            for name, memory in self._prompt_memories.items()
            if name == service
        }
        return copied

    def _measure_service(self, service: str) -> ServiceSize:
        """Returns the size of a service for the attribution of deaths."""
        servers = self.registry.count_servers(service, self.crashes.is_dead)
        return ServiceSize(service, max(1, servers), self.count_instances())

    def _on_server_removed(self, server: BackendServer) -> None:
        """Forgets what an engine reported, and remembers the version that it had."""
        self.report_client.latest.forget(server)
        self.origins.history.on_server_removed(server)

    def _on_response(self, server: BackendServer, head: ResponseHead) -> None:
        """Takes over what a response says about the requests that its server takes."""
        if head.status == MISDIRECTED:
            return
        now = asyncio.get_running_loop().time()
        instances = self.count_instances()
        if self.registry.on_response(now, server.server_id, head.signals, instances):
            self.telemetry.record_signals(server, head.signals)

    def record_outcome(self, outcome: Outcome) -> None:
        """Updates the state of a backend server from the outcome of an attempt.

        Args:
            outcome: Outcome of the attempt.
        """
        state = self.registry.state(outcome.server.server_id)
        if state is None:
            return
        now = asyncio.get_running_loop().time()
        if outcome.is_moved or outcome.is_withheld:
            return
        if outcome.kind is OutcomeKind.ANSWERED:
            state.on_success()
        elif outcome.kind is OutcomeKind.OUT_OF_TIME:
            # Some requests have a deadline shorter than their execution, so a timeout does not show
            # that the server has failed.
            return
        elif outcome.is_misdirected:
            self.registry.remove(outcome.server.server_id)
            self.pool.drop(outcome.server.server_id)
        elif outcome.kind is OutcomeKind.LOST or outcome.head is None:
            self.reachability.on_failure(outcome.server)
            self.registry.on_unreachable(now, outcome.server)
            self.pool.drop(outcome.server.server_id)
        elif not self.rollouts.is_judged(outcome.server):
            # The failures of a version that is being judged count for the version.
            state.on_failure(now, suspend=False)


def _copy_entry(known: Mapping[str, State], service: str) -> dict[str, State]:
    """Copies the entry of one service, if there is one."""
    return {name: deepcopy(value) for name, value in known.items() if name == service}
