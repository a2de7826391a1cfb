"""Selection of an engine and its standby based on current load reports."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.placement import (
    EngineView,
    PendingStream,
    PlacementLimits,
    PlacementRule,
    RefusalReason,
    RefuseStream,
    WaitForEngine,
    choose_candidates,
    compute_start_share,
)
from sapphireledge.core.waiting import WaitingLimits, WaitingLine, WaitingWork
from sapphireledge.gateway.engine_look import EngineLook
from sapphireledge.gateway.engine_selection import EngineSelection
from sapphireledge.gateway.stream_line import StreamLine

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from sapphireledge.core.placement import StartStream
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_load import EngineLoad
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["EngineSelector"]

CACHE_CANDIDATES = 24
"""Engines queried for a cached prompt when a caller resumes a stream. Processing a prompt of 8,000
tokens again is charged a hundred times as much as all these queries together."""

REPORT_TIMEOUT = 0.15
"""Seconds to wait for reports and cache listings: two round trips between regions and a margin."""

RECENT_DISPATCH_WINDOW = 0.4
"""Seconds for which a request sent by this instance may be missing from an engine's reports."""


PLACEMENT_LIMITS = PlacementLimits()
"""Limits and weights of the placement."""

WAITING_LIMITS = WaitingLimits()
"""Limits and weights of the waiting line."""


class EngineSelector:
    """Selects the engine of a stream from the load reports of a few candidates.

    Each instance queries only a few candidates of its own. The cost of a selection therefore does
    not grow with the number of engines, and stale reports do not make all instances pick the same
    engine. When and where the stream starts is decided by `PlacementRule`.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._rule = PlacementRule(PLACEMENT_LIMITS, Random())
        self._recent_dispatches: list[tuple[float, str, int]] = []
        self._lines: dict[str, StreamLine] = {}

    async def select(
        self,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        avoided: frozenset[str] = frozenset(),
    ) -> EngineSelection | RefuseStream | None:
        """Selects the engines on which a stream starts or resumes, once it is to start.

        Args:
            admitted: The request.
            progress: Progress of the stream so far.
            avoided: Ids of engines that are used only if there is no other.

        Returns:
            The selection, a refusal, or None if no engine is available.
        """
        if not progress.attempts:
            memory = self._context.prompt_memory(admitted.service.name)
            memory.on_request(asyncio.get_running_loop().time(), admitted.request)
        replica_source = progress.take_replica_holder()
        if replica_source is not None and self._permits(admitted, progress, replica_source):
            return self._select_known(admitted, progress, replica_source, replica_source)
        holder = await self._find_prompt_holder(admitted, progress)
        if holder is not None and self._permits(admitted, progress, holder):
            return self._select_known(admitted, progress, holder)
        return await self._place(admitted, progress, avoided)

    def _select_known(
        self,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        server: BackendServer,
        replica_source: BackendServer | None = None,
    ) -> EngineSelection:
        """Selects an engine without reports, with a standby by this instance's own view."""
        self._record_dispatch(server, admitted)
        standby = self._rank_standby(admitted, progress, server)
        return EngineSelection(server, standby, replica_source)

    def _exclude_versions(
        self, admitted: AdmittedRequest, progress: StreamProgress, others: Collection[str] = ()
    ) -> frozenset[str]:
        """Returns the ids of the engines whose version the next attempt may not use."""
        is_retry = _is_repeat(admitted, progress)
        return self._context.rollouts.excluded(admitted, others, is_retry=is_retry)

    def _permits(
        self, admitted: AdmittedRequest, progress: StreamProgress, server: BackendServer
    ) -> bool:
        """Records a request to an engine, if its version is permitted and it takes one now."""
        is_retry = _is_repeat(admitted, progress)
        is_permitted = self._context.rollouts.permits(admitted, server, is_retry=is_retry)
        return is_permitted and self._try_take(server)

    def _try_take(self, server: BackendServer) -> bool:
        """Records a request to an engine, if the engine takes one now."""
        return self._context.registry.try_take(asyncio.get_running_loop().time(), server.server_id)

    def _record_dispatch(self, server: BackendServer, admitted: AdmittedRequest) -> None:
        """Remembers a dispatch that the engine's next reports may not include."""
        now = asyncio.get_running_loop().time()
        tokens = admitted.request.prompt_tokens
        self._recent_dispatches.append((now, server.server_id, tokens))

    async def _place(
        self, admitted: AdmittedRequest, progress: StreamProgress, avoided: frozenset[str]
    ) -> EngineSelection | RefuseStream | None:
        """Places a stream by load reports, after it has waited in line if it has to."""
        line = self._line(admitted.service.name)
        describe = partial(self._describe_work, admitted, progress)
        offer = partial(self._offer, admitted, progress, avoided)
        now = asyncio.get_running_loop().time()
        line.order.on_arrival(now, describe())
        excluded = self._choose_excluded(admitted, progress, avoided)
        look = await self._look_for_arrival(admitted, excluded)
        result: EngineSelection | RefuseStream | WaitForEngine | None
        if line.order.is_preceded(asyncio.get_running_loop().time(), describe()):
            result = await line.wait(admitted, describe, offer, look)
        else:
            result = offer(look, True, 0)
            if isinstance(result, EngineSelection):
                line.order.on_start(asyncio.get_running_loop().time(), describe())
        if isinstance(result, WaitForEngine):
            result = await line.wait(admitted, describe, offer)
        return result

    def _offer(
        self,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        avoided: frozenset[str],
        look: EngineLook,
        has_turn: bool,
        placement: int,
    ) -> EngineSelection | RefuseStream | WaitForEngine | None:
        """Decides by the reports of a look whether a stream starts, waits or is refused."""
        context = self._context
        excluded = self._choose_excluded(admitted, progress, avoided)
        admission_at = self._next_admission(admitted, excluded)
        now = asyncio.get_running_loop().time()
        if admission_at == float("inf"):
            return None
        if admission_at > now:
            return self._decide_without_engine(admitted, progress, admission_at)
        servers = self._list_usable(admitted, progress, look, excluded, avoided)
        views = self._build_views(admitted, servers, look)
        stream = self._describe_pending(admitted, progress, now)
        if not views:
            is_taken = servers and self._permits(admitted, progress, servers[0])
            wait = WaitForEngine(PLACEMENT_LIMITS.retry_interval, 0.0)
            return self._select_known(admitted, progress, servers[0]) if is_taken else wait
        decision = self._decide(now, admitted, progress, stream, views, has_turn)
        if placement == 0 or not isinstance(decision, WaitForEngine):
            costs = {view.engine: self._rule.cost(stream, view) for view in views}
            silent = len(look.candidates) - len(look.reports)
            context.telemetry.record_placement(admitted, decision, costs, silent, placement)
        if isinstance(decision, RefuseStream):
            return self._spread_return(admitted, now, decision)
        if isinstance(decision, WaitForEngine):
            return decision
        server = next(s for s in servers if s.server_id == decision.engine)
        if not self._permits(admitted, progress, server):
            return WaitForEngine(0.0, decision.estimate)
        view = next(view for view in views if view.engine == decision.engine)
        memory = context.prompt_memory(admitted.service.name)
        memory.on_placed(now, admitted.request, view, views)
        context.telemetry.record_prompt_choice(admitted, view, views)
        has_room = self._rule.has_room_for_copies(stream, views)
        standby = self._rank_standby(admitted, progress, server) if has_room else None
        self._record_dispatch(server, admitted)
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
        is_retry = _is_repeat(admitted, progress)
        return [
            server
            for server in admitting
            if server.server_id not in left_out
            and not rollouts.is_judged(server)
            and rollouts.permits(admitted, server, is_retry=is_retry)
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

    def _spread_return(
        self, admitted: AdmittedRequest, now: float, refusal: RefuseStream
    ) -> RefuseStream:
        """Sets Retry-After by what waits and by the rate at which it starts."""
        if refusal.reason is RefusalReason.ENGINES:
            return refusal
        order = self._line(admitted.service.name).order
        return replace(refusal, retry_after=order.retry_after(now, refusal.estimate))

    def _line(self, service: str) -> StreamLine:
        """Returns the waiting line of a service, created on first use."""
        line = self._lines.get(service)
        if line is None:
            shared = self._context.shared_load
            order = WaitingLine(WAITING_LIMITS, Random(), lambda now: shared.streams(now, service))
            self._context.load_exchange.add_line(service, order)
            line = StreamLine(
                order,
                self._context.telemetry,
                partial(self._look_for_line, service),
                partial(self._start_share, service),
            )
            self._lines[service] = line
            self._context.on_first_event = self._on_first_event
            self._context.registry.on_added = self._on_server_added
        return line

    def _on_first_event(self, server: BackendServer) -> None:
        """Wakes the line of a service whose engine has processed a prompt of this instance."""
        if server.service in self._lines:
            self._lines[server.service].on_place_freed(server.server_id)

    def _on_server_added(self, server: BackendServer) -> None:
        """Wakes the line of a service that has a further engine."""
        if server.service in self._lines:
            self._lines[server.service].wake()

    def _describe_work(self, admitted: AdmittedRequest, progress: StreamProgress) -> WaitingWork:
        """Describes a stream to the waiting line."""
        now = asyncio.get_running_loop().time()
        request = admitted.request
        stream = self._describe_pending(admitted, progress, now)
        first_event = self._context.first_event_estimator(admitted.service.name)
        generation = self._context.generation_estimator(admitted.service.name)
        return WaitingWork(
            rank=admitted.rank,
            due_at=stream.due_at,
            leaves_at=stream.leaves_at,
            deadline=stream.deadline,
            first_event_time=first_event.estimate(0.0),
            generation_time=generation.estimate(request.output_tokens),
            workspace=admitted.workspace,
            tokens=request.prompt_tokens + request.output_tokens,
            route_rank=admitted.route.rank,
            delivered=stream.delivered,
            has_run=stream.has_run,
        )

    def _choose_excluded(
        self, admitted: AdmittedRequest, progress: StreamProgress, avoided: frozenset[str]
    ) -> frozenset[str]:
        """Returns the ids of the engines to leave out; they are used if there are no others."""
        failed = frozenset(progress.failed_engines)
        versions = self._exclude_versions(admitted, progress, failed | avoided)
        for excluded in (versions | failed | avoided, versions | failed):
            if self._next_admission(admitted, excluded) < float("inf"):
                return excluded
        return versions

    def _next_admission(self, admitted: AdmittedRequest, excluded: frozenset[str]) -> float:
        """Computes when an engine takes a request; infinite if all engines are left out."""
        now = asyncio.get_running_loop().time()
        return self._context.registry.next_admission(now, admitted.service.name, excluded)

    def _decide_without_engine(
        self, admitted: AdmittedRequest, progress: StreamProgress, admission_at: float
    ) -> RefuseStream | WaitForEngine | None:
        """Decides whether a stream waits for an engine that takes requests again."""
        context = self._context
        now = asyncio.get_running_loop().time()
        decision = self._rule.decide_without_engine(
            now,
            self._describe_pending(admitted, progress, now),
            admission_at,
            context.first_event_estimator(admitted.service.name),
            may_wait=not context.is_stopping(),
        )
        if isinstance(decision, RefuseStream) and progress.may_have_executed:
            return None
        return decision

    async def _look_for_arrival(
        self, admitted: AdmittedRequest, excluded: frozenset[str]
    ) -> EngineLook:
        """Fetches the reports of the candidates for a stream that arrives.

        Reports may name a rate or a pause; such engines are not listed again, so others are looked
        at if none of the candidates takes the stream.
        """
        while True:
            candidates = self._list_candidates(admitted, excluded)
            look = await self._take_look(candidates)
            now = asyncio.get_running_loop().time()
            admits = self._context.registry.admits
            if not candidates or any(admits(now, server.server_id) for server in candidates):
                return look

    async def _look_for_line(self, service: str, round_: int, freed: frozenset[str]) -> EngineLook:
        """Fetches the reports of the next candidates for the streams that wait."""
        registry = self._context.registry
        now = asyncio.get_running_loop().time()
        unusable = self._context.rollouts.unusable(service)
        candidates = self._choose_candidates(
            service, registry.list_preferred(now, service, unusable), round_, unusable
        )
        chosen = {server.server_id for server in candidates}
        for server_id in freed - chosen:
            state = registry.state(server_id)
            if state is not None and registry.admits(now, server_id):
                candidates.insert(0, state.server)
        return await self._take_look(candidates)

    async def _take_look(self, candidates: list[BackendServer]) -> EngineLook:
        """Fetches the reports of the candidates; those that send none are suspended.

        A single candidate is used without a report.
        """
        context = self._context
        if len(candidates) < 2:
            return EngineLook(candidates, {})
        reports = await context.report_client.fetch_reports(candidates, REPORT_TIMEOUT)
        now = asyncio.get_running_loop().time()
        context.telemetry.record_look(len(candidates), len(reports))
        for server in candidates:
            report = reports.get(server.server_id)
            if report is None:
                context.registry.on_unreachable(now, server)
            elif self._remove_if_replaced(server, report):
                del reports[server.server_id]
        return EngineLook(candidates, reports)

    def _build_views(
        self, admitted: AdmittedRequest, servers: list[BackendServer], look: EngineLook
    ) -> list[EngineView]:
        """Builds the views of the engines that sent a report."""
        now = asyncio.get_running_loop().time()
        homes = self._context.prompt_memory(admitted.service.name).list_homes(now, admitted.request)
        self._recent_dispatches = [
            entry for entry in self._recent_dispatches if entry[0] > now - RECENT_DISPATCH_WINDOW
        ]
        return [
            self._build_view(admitted, server, look.reports[server.server_id], homes)
            for server in servers
            if server.server_id in look.reports
        ]

    def _build_view(
        self,
        admitted: AdmittedRequest,
        server: BackendServer,
        load: EngineLoad,
        homes: Mapping[str, float],
    ) -> EngineView:
        """Builds the view of an engine from its report and the recent dispatches."""
        context, service = self._context, admitted.service.name
        free_tokens = load.memory_total - load.memory_used if load.memory_total else None
        sent = [tokens for _, name, tokens in self._recent_dispatches if name == server.server_id]
        typical = context.first_event_estimator(service).typical_tokens
        now = asyncio.get_running_loop().time()
        memory = context.prompt_memory(service)
        unseen = memory.estimate_unseen(now, admitted.request, server, homes)
        tokens_ahead = load.count_tokens_ahead(typical) + unseen * typical
        tokens_ahead += sum(tokens or typical for tokens in sent)
        return EngineView(
            engine=server.server_id,
            is_local=server.data_centre == self._context.cfg.data_centre,
            waiting=load.waiting,
            prefilling=load.prefilling,
            running=load.running,
            recently_sent=len(sent),
            free_tokens=free_tokens,
            tokens_ahead=tokens_ahead if typical else None,
            kept_tokens=context.prompt_memory(service).estimate(
                now, admitted.request, server, homes, free_tokens
            ),
        )

    async def _find_prompt_holder(
        self, admitted: AdmittedRequest, progress: StreamProgress
    ) -> BackendServer | None:
        """Finds an engine that has the prompt cached if the caller resumes a broken stream."""
        if admitted.request.last_event is None or progress.attempts:
            return None
        local_centre = self._context.cfg.data_centre
        now = asyncio.get_running_loop().time()
        ranked = self._context.registry.rank_servers(
            now, admitted.service.name, admitted.request.affinity
        )
        ranked.sort(key=lambda server: server.data_centre != local_centre)
        queried = ranked[:CACHE_CANDIDATES]
        holders = await self._context.report_client.find_prompt_holders(
            queried, admitted.request.affinity, REPORT_TIMEOUT
        )
        self._context.telemetry.record_prompt_holders(admitted, holders, len(queried))
        return next((server for server in queried if server.server_id in holders), None)

    def _remove_if_replaced(self, server: BackendServer, report: EngineLoad) -> bool:
        """Removes an engine and returns True if another incarnation reports at its address."""
        if (
            not report.started_at_ms
            or not server.started_at_ms
            or report.started_at_ms == server.started_at_ms
        ):
            return False
        self._context.registry.remove(server.server_id)
        self._context.pool.drop(server.server_id)
        return True

    def _list_candidates(
        self, admitted: AdmittedRequest, excluded: frozenset[str]
    ) -> list[BackendServer]:
        """Lists the engines that take requests now, of which a stream is offered the best one."""
        registry = self._context.registry
        now = asyncio.get_running_loop().time()
        service = admitted.service.name
        ranked = registry.rank_servers(now, service, admitted.request.affinity, excluded)
        kept = self._context.prompt_memory(service).list_candidates(now, admitted.request, excluded)
        return self._choose_candidates(service, ranked, 0, excluded, kept)

    def _choose_candidates(
        self,
        service: str,
        ranked: Iterable[BackendServer],
        placement: int,
        excluded: frozenset[str],
        kept: Sequence[BackendServer] = (),
    ) -> list[BackendServer]:
        """Chooses a few of the ranked engines that take requests now."""
        registry = self._context.registry
        now = asyncio.get_running_loop().time()
        return choose_candidates(
            (server for server in ranked if registry.admits(now, server.server_id)),
            lambda server: server.data_centre == self._context.cfg.data_centre,
            placement,
            registry.list_rated(now, service, excluded),
            kept,
        )

    def _start_share(self, service: str) -> float:
        """Computes which share of waiting streams may start on an engine that looks idle."""
        engines = self._context.registry.count(service)
        engines -= len(self._context.rollouts.unusable(service))
        return compute_start_share(engines, self._context.count_instances())

    def _rank_standby(
        self, admitted: AdmittedRequest, progress: StreamProgress, server: BackendServer
    ) -> BackendServer | None:
        """Chooses the engine to replicate to, in another data centre if possible."""
        if not (admitted.service.can_replicate and admitted.route.resumable):
            return None
        now = asyncio.get_running_loop().time()
        ranked = self._context.registry.rank_servers(
            now,
            admitted.service.name,
            admitted.request.affinity,
            {*progress.failed_engines, server.server_id}
            | self._context.rollouts.excluded_copies(server),
            {*progress.lost_centres, server.data_centre},
        )
        return ranked[0] if ranked else None

    def _describe_pending(
        self, admitted: AdmittedRequest, progress: StreamProgress, now: float
    ) -> PendingStream:
        """Describes a stream to the placement rule."""
        estimator = self._context.first_event_estimator(admitted.service.name)
        target = admitted.route.target or admitted.route.time_limit
        last_progress = progress.last_event_at or admitted.request.received_at
        return PendingStream(
            prompt_tokens=admitted.request.prompt_tokens,
            output_tokens=admitted.request.output_tokens,
            rank_distance=max(0, admitted.rank - admitted.service.first_rank),
            # A prompt takes longer than the pauses allowed between events.
            due_at=now if progress.delivered else admitted.request.received_at + target,
            leaves_at=last_progress + admitted.route.event_patience,
            deadline=admitted.deadline,
            has_run=progress.may_have_executed,
            # Callers that resume a stream at this instance have received its first events, too.
            delivered=(
                progress.delivered if progress.last_event is None else progress.last_event + 1
            ),
            typical_tokens=estimator.typical_tokens,
        )


def _is_repeat(admitted: AdmittedRequest, progress: StreamProgress) -> bool:
    """Whether an engine has been sent the stream before, here or at another instance."""
    return bool(progress.contacted) or admitted.request.last_event is not None
