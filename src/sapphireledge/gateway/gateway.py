"""Admission and forwarding of callers' requests."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from random import Random
from time import monotonic
from typing import TYPE_CHECKING

from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.admitted_request import AdmittedRequest
from sapphireledge.gateway.caller_connection import CallerConnection
from sapphireledge.gateway.caller_limits import CallerLimits
from sapphireledge.gateway.config_view import ConfigView
from sapphireledge.gateway.gateway_context import GatewayContext
from sapphireledge.gateway.peer_forwarder import (
    CONFIG_VERSION,
    MISDIRECTED,
    PREFLIGHT,
    PeerForwarder,
)
from sapphireledge.gateway.plain_forwarder import PlainForwarder
from sapphireledge.gateway.replay_rule import ReplayRule
from sapphireledge.gateway.stream_forwarder import StreamForwarder
from sapphireledge.limits import RESPONSE_BUDGET, CallerLedger

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.caller_request import CallerRequest
    from sapphireledge.gateway.dialect import Dialect
    from sapphireledge.gateway.engine_selector import EngineSelector
    from sapphireledge.gateway.gateway_settings import GatewaySettings
    from sapphireledge.gateway.request_telemetry import RequestTelemetry
    from sapphireledge.gateway.route import Route
    from sapphireledge.gateway.routing_table import RoutingTable
    from sapphireledge.gateway.unanswered_request import UnansweredRequest
    from sapphireledge.gateway.workspace_key import WorkspaceKey

__all__ = ["Gateway"]

STALE_RETRY_AFTER = 0.0
"""Retry-After in seconds for failures of this instance; a retry may reach another instance."""

START_RETRY_AFTER = 0.3
"""Retry-After in seconds while the instance has no configuration; longer than for a stale one,
because all instances may be starting at the same time."""

READY_MARGIN = 1.2
"""Seconds before the instance stops accepting API keys at which it reports that it is not ready;
the load balancer probes once a second and removes an instance after two failed probes."""

PLAIN_ACCEPT_TIME = 3.0
"""Seconds from the start of a graceful shutdown for which plain requests are accepted in any case:
new connections still arrive, and few requests last until the stop limit."""

PLAIN_RESERVE = 0.7
"""Seconds that must remain before the stop limit beyond the time limit of a plain request that is
accepted later: its response must be sent before the requests in flight are ended."""

MIN_STREAM_TIME = 7.5
"""Seconds that must remain before the stop limit for a stream to be accepted during a graceful
shutdown; a loaded engine processes a long prompt in 2 s and generates for 5 s."""


class Gateway:
    """Checks requests against the configuration in force and forwards them."""

    def __init__(self, cfg: GatewaySettings, dialect: Dialect, telemetry: RequestTelemetry) -> None:
        self.cfg = cfg
        """Settings of the instance."""

        self.config = ConfigView()
        """Configuration in force."""

        self.context = GatewayContext(cfg, dialect, telemetry)
        """Components shared by all requests."""

        self._dialect = dialect
        self.telemetry = telemetry
        """Log and metrics of requests."""

        self._plain = PlainForwarder(self.context)
        self._streams = StreamForwarder(self.context)
        self.peers = PeerForwarder(self.context)
        """Forwards through other instances while no backend server can be reached."""

        self._rng = Random()
        self.config.on_replaced = self._on_config
        self.context.pool.connection_limit = self._connection_limit
        self.context.rollouts.longest_answer = self._longest_answer
        self.context.is_stopping = lambda: self._stop_started is not None
        self._ledger = CallerLedger(cfg.callers.callers, telemetry.record_caller_limit)
        RESPONSE_BUDGET.resize(cfg.callers.response_bytes)
        RESPONSE_BUDGET.on_short = lambda size: self._ledger.free_answers(monotonic(), size)
        self._connections: set[CallerConnection] = set()
        self._stop_started: float | None = None
        self._in_flight: dict[asyncio.Timeout, CallerConnection] = {}

    @property
    def selector(self) -> EngineSelector:
        """Selects the engines of streams."""
        return self._streams.selector

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should route new callers to this instance."""
        return (
            self._stop_started is None
            and self.config.table is not None
            and self.config.age < self.cfg.max_config_age - READY_MARGIN
            and len(self.context.registry) > 0
            and self.context.rollouts.knows_versions
            and not self.context.reachability.is_cut_off
        )

    @property
    def in_flight(self) -> int:
        """Number of requests whose responses are not complete."""
        return sum(1 for conn in self._connections if conn.is_busy)

    @property
    def is_idle(self) -> bool:
        """Whether no connection has a request in progress or a response that waits to be sent."""
        return all(conn.is_idle for conn in self._connections)

    def create_protocol(self, *, is_peer: bool = False) -> CallerConnection:
        """Creates the asyncio protocol for a new caller connection.

        Args:
            is_peer: Whether another instance connects to forward requests.

        Returns:
            The protocol.
        """
        conn = CallerConnection(
            self._caller_limits,
            self._dialect,
            self.handle_forwarded if is_peer else self.handle,
            lambda: self._stop_started is not None or self.context.reachability.is_cut_off,
            self._ledger,
        )
        conn.on_closed = self._connections.discard
        conn.on_unanswered = self._on_unanswered
        conn.on_error = partial(self.telemetry.record_internal_error, None)
        self._connections.add(conn)
        return conn

    def reconfigure(self, cfg: GatewaySettings) -> None:
        """Applies changed time limits and budgets.

        Args:
            cfg: New settings; changed addresses are ignored.
        """
        self.cfg = cfg
        self.context.cfg = cfg
        self._ledger.limits = cfg.callers.callers
        RESPONSE_BUDGET.resize(cfg.callers.response_bytes)
        self.context.rollouts.reconfigure(cfg)

    def begin_stop(self) -> None:
        """Begins a graceful shutdown: reports not ready, and responses announce the close."""
        self._stop_started = asyncio.get_running_loop().time()

    def end_unanswered(self) -> None:
        """Ends the requests in flight whose response has not begun; called once.

        Each of them gets a response of the gateway in one of the next passes of the event loop.
        """
        now = asyncio.get_running_loop().time()
        for limit, conn in self._in_flight.items():
            if not conn.response_started:
                limit.reschedule(now)

    def close_idle(self) -> None:
        """Closes connections without a request in progress."""
        for conn in tuple(self._connections):
            conn.close_if_idle()

    async def handle(
        self, conn: CallerConnection, request: CallerRequest, *, is_forwarded: bool = False
    ) -> None:
        """Handles one request and sends its response.

        A request that meets an unexpected exception ends in an error status, too.

        Args:
            conn: Connection of the caller.
            request: The request.
            is_forwarded: Whether another instance has forwarded it, so that it is not forwarded
                to a third one.
        """
        try:
            await self._handle(conn, request, is_forwarded=is_forwarded)
        except Exception as exc:
            self.telemetry.record_internal_error(request, exc)
            conn.fail()

    async def _handle(
        self, conn: CallerConnection, request: CallerRequest, *, is_forwarded: bool
    ) -> None:
        """Admits or refuses one request, and forwards it."""
        started = asyncio.get_running_loop().time()
        await self.config.wait_for_table(self.cfg.start_wait)
        admitted = self.admit(
            request,
            lambda table: table.keys.get(request.key),
            partial(self._draw_service, request.resumes),
        )
        if isinstance(admitted, Failure):
            return await self._refuse(conn, request, admitted, started)
        fingerprint = self.context.crashes.fingerprint(admitted)
        self.telemetry.record_admission(admitted, fingerprint, self.config.age)
        forwarder = self._choose_forwarder(admitted, is_forwarded=is_forwarded)
        try:
            failure = await self._forward_until_stop(forwarder, conn, admitted)
        except asyncio.CancelledError:
            self.telemetry.record_cancellation(admitted, started, conn.end_reason)
            raise
        if failure is not None and conn.response_started:
            self.telemetry.record_cancellation(admitted, started, None)
            return conn.abort()
        if failure is not None:
            return await self._refuse(conn, request, failure, started)
        self.telemetry.record_response(admitted, started, complete=not conn.is_aborted)
        return None

    def _choose_forwarder(
        self, admitted: AdmittedRequest, *, is_forwarded: bool
    ) -> PlainForwarder | StreamForwarder | PeerForwarder:
        """Chooses how a request is forwarded."""
        if self.context.reachability.is_cut_off and not is_forwarded:
            return self.peers
        is_stream = admitted.route.replay is ReplayRule.EVENT_STREAM
        return self._streams if is_stream else self._plain

    async def handle_forwarded(self, conn: CallerConnection, request: CallerRequest) -> None:
        """Handles a request that another instance has forwarded, unless it should ask others.

        Args:
            conn: Connection of the other instance.
            request: The request.
        """
        version = dict(request.headers).get(CONFIG_VERSION, b"")
        table = self.config.table
        is_behind = table is None or not version.isdigit() or table.version < int(version)
        cut_off = self.context.reachability.is_cut_off
        if is_behind or cut_off or self._stop_started is not None:
            headers = self._dialect.encode_refusal(request.request_id, None)
            return await conn.respond(MISDIRECTED, headers, b"")
        if request.target == PREFLIGHT:
            headers = self._dialect.encode_refusal(request.request_id, None)
            return await conn.respond(HTTPStatus.NO_CONTENT, headers, b"")
        headers = tuple(pair for pair in request.headers if pair[0] != CONFIG_VERSION)
        return await self.handle(conn, replace(request, headers=headers), is_forwarded=True)

    async def _forward_until_stop(
        self,
        forwarder: PlainForwarder | StreamForwarder | PeerForwarder,
        conn: CallerConnection,
        admitted: AdmittedRequest,
    ) -> Failure | None:
        """Forwards a request; without any response shortly before the process stops, it fails."""
        limit = asyncio.timeout(None)
        self._in_flight[limit] = conn
        conn.may_have_run = True
        try:
            async with limit:
                return await forwarder.forward(conn, admitted)
        except TimeoutError:
            if not limit.expired():
                raise
            reason = "the instance stopped before there was a response"
            return Failure(ErrorKind.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
        except asyncio.CancelledError as exc:
            if _is_cancelled():
                raise
            raise RuntimeError("a part of the request was cancelled") from exc
        finally:
            del self._in_flight[limit]

    def admit(
        self,
        request: CallerRequest,
        find_key: Callable[[RoutingTable], WorkspaceKey | None],
        choose_service: Callable[[Route], str],
    ) -> AdmittedRequest | Failure:
        """Checks a request by the configuration in force.

        Args:
            request: The request.
            find_key: Returns the key of the caller, None if there is none.
            choose_service: Returns the service of the route that handles it.

        Returns:
            The request with its route, or a refusal.
        """
        table = self.config.table
        if table is None:
            reason = "no configuration has been loaded yet"
            return Failure(ErrorKind.NOT_CONFIGURED, reason, Ran.NO, START_RETRY_AFTER)
        stale = self.config.age >= self.cfg.max_config_age
        route = table.match(request.host, request.path)
        if route is None:
            if stale:
                return _stale_config_failure(self.config.age)
            return Failure(ErrorKind.NOT_FOUND, "no route matches the host and path")
        if self._would_be_cut_off(request, route):
            return Failure(ErrorKind.SHUTTING_DOWN, "the instance is shutting down", Ran.NO, 0.0)
        workspace_key: WorkspaceKey | None = None
        if table.keys_required and not route.anonymous:
            if stale:
                return _stale_config_failure(self.config.age)
            workspace_key = find_key(table)
            if workspace_key is None:
                return Failure(ErrorKind.UNAUTHENTICATED, "unknown API key")
        name = choose_service(route)
        service = table.services.get(name)
        if service is None:
            reason = f"service {name} of route {route.name} is not declared"
            return Failure(ErrorKind.NO_BACKEND, reason, Ran.NO, STALE_RETRY_AFTER)
        rank = (
            route.rank
            if workspace_key is None or workspace_key.rank is None
            else workspace_key.rank
        )
        workspace = "" if workspace_key is None else workspace_key.workspace
        return AdmittedRequest(request, route, service, workspace, rank, table.version)

    def _draw_service(self, resumes: str, route: Route) -> str:
        """Draws the service of a request by the weights of its route.

        A stream that its caller takes up stays at the service that began it, if that is known.
        """
        names = [name for name, _ in route.services]
        if len(names) == 1:
            return names[0]
        origins = self.context.origins
        weights = [weight for _, weight in route.services]
        for name, weight in route.services:
            if weight > 0.0 and origins.is_recorded(name, resumes):
                return name
        return self._rng.choices(names, weights)[0]

    def _would_be_cut_off(self, request: CallerRequest, route: Route) -> bool:
        """Whether a graceful shutdown may end before a request of the route completes."""
        if self._stop_started is None:
            return False
        elapsed = asyncio.get_running_loop().time() - self._stop_started
        time_left = self.cfg.stop_limit - elapsed
        if route.replay is ReplayRule.EVENT_STREAM:
            return time_left < MIN_STREAM_TIME
        longest = min(route.time_limit, request.wait_limit or route.time_limit)
        return elapsed >= PLAIN_ACCEPT_TIME and time_left < longest + PLAIN_RESERVE

    def _on_unanswered(self, unanswered: UnansweredRequest) -> None:
        """Records a connection that ended without a complete response, beside the configuration."""
        config = self.config
        self.telemetry.record_unanswered(unanswered, config.table, config.time_in_force, config.age)

    def _caller_limits(self) -> CallerLimits:
        """Returns the caller limits of the configuration in force."""
        return CallerLimits() if self.config.table is None else self.config.table.limits

    def _longest_answer(self, service: str) -> float | None:
        """Returns how long answers of a service may take, None if no configuration says so."""
        return None if self.config.table is None else self.config.table.longest_answer(service)

    def _on_config(self, table: RoutingTable) -> None:
        """Takes in the services of a configuration, and forgets what is known about others."""
        self.context.origins.on_config(table.resumable_limits())
        self.context.retain_services(table.services)
        self.selector.retain_services({*table.services, *self.context.registry.services()})

    def _connection_limit(self, service: str) -> int:
        """Returns how many connections each server of a service accepts, 0 if unknown."""
        profile = None if self.config.table is None else self.config.table.services.get(service)
        return 0 if profile is None else profile.max_connections

    async def _refuse(
        self, conn: CallerConnection, request: CallerRequest, failure: Failure, started: float
    ) -> None:
        """Responds with an error generated by the gateway itself."""
        status = self._dialect.refusal_status(failure)
        self.telemetry.record_refusal(
            request, failure, status, started, self.config.table, self.config.age
        )
        headers = self._dialect.encode_refusal(request.request_id, failure.retry_after)
        await conn.respond(status, headers, b"")


def _is_cancelled() -> bool:
    """Whether the current task itself was cancelled, not only something that it waited for."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _stale_config_failure(age: float) -> Failure:
    """Builds the failure for a stale configuration, whose API keys may have been revoked."""
    reason = f"the configuration was last confirmed {age:.1f} s ago"
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, Ran.NO, STALE_RETRY_AFTER)
