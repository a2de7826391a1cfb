"""Decision whether a stream starts on one of the engines that it is offered."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from sapphireledge.core.placement import (
    PlacementLimits,
    RefusalReason,
    RefuseStream,
    WaitForEngine,
)
from sapphireledge.gateway.choose_standby import choose_standby
from sapphireledge.gateway.describe_stream import describe_pending, is_repeat
from sapphireledge.gateway.engine_selection import EngineSelection

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sapphireledge.core.placement import EngineView, PendingStream, PlacementRule, StartStream
    from sapphireledge.core.waiting import WaitingLine
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_look import EngineLook
    from sapphireledge.gateway.engine_views import EngineViews
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.replica import Replica
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["PLACEMENT_LIMITS", "EngineOffers"]

PLACEMENT_LIMITS = PlacementLimits()
"""Limits and weights of the placement."""


class EngineOffers:
    """Offers engines to streams; when and where one starts is decided by `PlacementRule`."""

    def __init__(
        self,
        context: GatewayContext,
        rule: PlacementRule,
        views: EngineViews,
        find_order: Callable[[str], WaitingLine],
    ) -> None:
        """Creates the offers.

        Args:
            context: Components of the instance.
            rule: Decides when and where a stream starts.
            views: Builds the views of engines.
            find_order: Returns the order of the streams of a service that wait.
        """
        self._context = context
        self._rule = rule
        self._views = views
        self._find_order = find_order

    def offer(
        self,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        avoided: frozenset[str],
        look: EngineLook,
        has_turn: bool,
        placement: int,
    ) -> EngineSelection | RefuseStream | WaitForEngine | None:
        """Decides by the reports of a look whether a stream starts, waits or is refused.

        Args:
            admitted: The request.
            progress: Progress of the stream so far.
            avoided: Ids of engines that are used only if there is no other.
            look: Reports of a few engines.
            has_turn: Whether the stream may start on an engine that looks idle.
            placement: Number of earlier offers in this attempt.

        Returns:
            The selection or the decision, None if no engine is available.
        """
        excluded = self.choose_excluded(admitted, progress, avoided)
        admission_at = self._next_admission(admitted, excluded)
        now = asyncio.get_running_loop().time()
        if admission_at == float("inf"):
            return None
        if admission_at > now:
            return self._decide_without_engine(admitted, progress, admission_at)
        servers = self._list_usable(admitted, progress, look, excluded, avoided)
        views = self._views.build(admitted, servers, look)
        if not views:
            return self._select_without_report(admitted, progress, servers)
        stream = describe_pending(self._context, admitted, progress, now)
        decision = self._decide(now, admitted, progress, stream, views, has_turn)
        if placement == 0 or not isinstance(decision, WaitForEngine):
            costs = {view.engine: self._rule.explain(stream, view) for view in views}
            silent = len(look.candidates) - len(look.reports)
            self._context.telemetry.record_placement(admitted, decision, costs, silent, placement)
        if isinstance(decision, RefuseStream):
            return self._spread_return(admitted, now, decision)
        if isinstance(decision, WaitForEngine):
            return decision
        server = next(s for s in servers if s.server_id == decision.engine)
        if not self.permits(admitted, progress, server):
            return WaitForEngine(0.0, decision.estimate)
        return self._select(now, admitted, progress, stream, views, server, decision)

    def select_known(
        self,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        server: BackendServer,
        replica: Replica | None = None,
    ) -> EngineSelection:
        """Selects an engine without reports, with a standby by this instance's own view.

        Args:
            admitted: The request.
            progress: Progress of the stream so far.
            server: The engine.
            replica: Copy to resume from, or None.

        Returns:
            The selection.
        """
        self._views.record_dispatch(server, admitted)
        standby = choose_standby(self._context, admitted, progress, server)
        return EngineSelection(server, standby, replica)

    def permits(
        self, admitted: AdmittedRequest, progress: StreamProgress, server: BackendServer
    ) -> bool:
        """Records a request to an engine, if its version is permitted and it takes one now.

        Args:
            admitted: The request.
            progress: Progress of the stream so far.
            server: The engine.

        Returns:
            Whether the request may be sent.
        """
        repeat = is_repeat(admitted, progress)
        rollouts, origin = self._context.rollouts, progress.version
        if not rollouts.permits(admitted, server, is_retry=repeat, origin=origin):
            return False
        now = asyncio.get_running_loop().time()
        return self._context.registry.try_take(now, server.server_id)

    def choose_excluded(
        self, admitted: AdmittedRequest, progress: StreamProgress, avoided: frozenset[str]
    ) -> frozenset[str]:
        """Chooses the engines to leave out; failed and avoided ones are used if there is no other.

        Args:
            admitted: The request.
            progress: Progress of the stream so far.
            avoided: Ids of engines that are used only if there is no other.

        Returns:
            Ids of the engines.
        """
        failed = frozenset(progress.failed_engines)
        versions = self._exclude_versions(admitted, progress, failed | avoided)
        for excluded in (versions | failed | avoided, versions | failed):
            if self._next_admission(admitted, excluded) < float("inf"):
                return excluded
        return versions

    def _select_without_report(
        self, admitted: AdmittedRequest, progress: StreamProgress, servers: list[BackendServer]
    ) -> EngineSelection | WaitForEngine:
        """Selects the first of the engines, or waits if it takes no request."""
        if servers and self.permits(admitted, progress, servers[0]):
            return self.select_known(admitted, progress, servers[0])
        return WaitForEngine(PLACEMENT_LIMITS.retry_interval, 0.0)

    def _select(
        self,
        now: float,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        stream: PendingStream,
        views: list[EngineView],
        server: BackendServer,
        decision: StartStream,
    ) -> EngineSelection:
        """Selects the engine that was decided for, and a standby if there is room for a copy."""
        context = self._context
        view = next(view for view in views if view.engine == decision.engine)
        memory = context.prompt_memory(admitted.service.name)
        memory.on_placed(now, admitted.request, view, views)
        context.telemetry.record_prompt_choice(admitted, view, views)
        has_room = self._rule.has_room_for_copies(stream, views)
        standby = choose_standby(self._context, admitted, progress, server) if has_room else None
        self._views.record_dispatch(server, admitted)
        return EngineSelection(
            server,
            standby,
            None,
            self._rule.work_ahead(stream, view),
            decision.is_late,
            self._rule.own_work(stream, view),
            view.kept_tokens,
        )

    def _list_usable(
        self,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        look: EngineLook,
        excluded: frozenset[str],
        avoided: frozenset[str],
    ) -> list[BackendServer]:
        """Lists the engines of a look that a stream may be sent to now."""
        now = asyncio.get_running_loop().time()
        admitting = [
            server
            for server in look.candidates
            if self._context.registry.admits(now, server.server_id)
        ]
        usable = [server for server in admitting if server.server_id not in excluded]
        rollouts = self._context.rollouts
        if usable or not rollouts.is_active:
            return usable
        # No engine of the preferred version is among the candidates; a stream may go to the old
        # version instead, never to the new one.
        left_out = avoided.union(progress.failed_engines)
        repeat = is_repeat(admitted, progress)
        return [
            server
            for server in admitting
            if server.server_id not in left_out
            and not rollouts.is_judged(server)
            and rollouts.permits(admitted, server, is_retry=repeat, origin=progress.version)
        ]

    def _decide(
        self,
        now: float,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        stream: PendingStream,
        views: list[EngineView],
        has_turn: bool,
    ) -> StartStream | WaitForEngine | RefuseStream:
        """Decides by the views of a few engines whether a stream starts, waits or is refused."""
        context = self._context
        output_tokens = admitted.request.output_tokens
        generation = context.generation_estimator(admitted.service.name)
        received = 0 if progress.last_event is None else progress.last_event + 1
        return self._rule.decide(
            now,
            stream,
            views,
            context.first_event_estimator(admitted.service.name),
            may_wait=not context.is_stopping(),
            start_share=float(has_turn),
            generation_time=generation.estimate(output_tokens),
            shortest_generation=generation.estimate_shortest(output_tokens, received),
            pace_generation=generation.estimate_at_pace(now, output_tokens, received),
        )

    def _decide_without_engine(
        self, admitted: AdmittedRequest, progress: StreamProgress, admission_at: float
    ) -> RefuseStream | WaitForEngine | None:
        """Decides whether a stream waits for an engine that takes requests again."""
        context = self._context
        now = asyncio.get_running_loop().time()
        decision = self._rule.decide_without_engine(
            now,
            describe_pending(context, admitted, progress, now),
            admission_at,
            context.first_event_estimator(admitted.service.name),
            may_wait=not context.is_stopping(),
        )
        if isinstance(decision, RefuseStream) and progress.may_have_executed:
            return None
        return decision

    def _spread_return(
        self, admitted: AdmittedRequest, now: float, refusal: RefuseStream
    ) -> RefuseStream:
        """Sets Retry-After by what waits and by the rate at which it starts."""
        if refusal.reason is RefusalReason.ENGINES:
            return refusal
        order = self._find_order(admitted.service.name)
        return replace(refusal, retry_after=order.retry_after(now, refusal.estimate))

    def _exclude_versions(
        self, admitted: AdmittedRequest, progress: StreamProgress, others: Collection[str] = ()
    ) -> frozenset[str]:
        """Returns the ids of the engines whose version the next attempt may not use."""
        repeat = is_repeat(admitted, progress)
        return self._context.rollouts.excluded(
            admitted, others, is_retry=repeat, origin=progress.version
        )

    def _next_admission(self, admitted: AdmittedRequest, excluded: frozenset[str]) -> float:
        """Computes when an engine takes a request; infinite if all engines are left out."""
        now = asyncio.get_running_loop().time()
        return self._context.registry.next_admission(now, admitted.service.name, excluded)
