"""Selection of an engine and its standby based on current load reports."""

from __future__ import annotations

import asyncio
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.placement import (
    EngineView,
    PendingStream,
    PlacementLimits,
    PlacementRule,
    RefuseStream,
    WaitForEngine,
    choose_candidates,
    compute_start_share,
)
from sapphireledge.gateway.engine_selection import EngineSelection

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

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
        if replica_source is not None and self._try_take(replica_source):
            return self._select_known(admitted, progress, replica_source, replica_source)
        holder = await self._find_prompt_holder(admitted, progress)
        if holder is not None and self._try_take(holder):
            return self._select_known(admitted, progress, holder)
        selection = await self._place(admitted, progress, avoided)
        if isinstance(selection, EngineSelection) and selection.prompts_ahead is not None:
            self._record_dispatch(selection.server, admitted)
        return selection

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
        """Places a stream by load reports, and repeats that while it has to wait."""
        context = self._context
        loop = asyncio.get_running_loop()
        estimator = context.first_event_estimator(admitted.service.name)
        generation = context.generation_estimator(admitted.service.name)
        waits = 0
        for placement in count():
            excluded = self._choose_excluded(admitted, progress, avoided)
            candidates = self._list_candidates(admitted, excluded, waits)
            if not candidates and self._next_admission(admitted, excluded) == float("inf"):
                return None
            if not candidates:
                refusal = await self._wait_for_admission(admitted, progress, excluded)
                if refusal is None:
                    waits += 1
                    continue
                return None if progress.may_have_executed else refusal
            views = [] if len(candidates) < 2 else await self._fetch_views(admitted, candidates)
            if not views:
                if self._try_take(candidates[0]):
                    return self._select_known(admitted, progress, candidates[0])
                continue
            # A report may name a rate or a pause; such engines are not listed again.
            views = [view for view in views if context.registry.admits(loop.time(), view.engine)]
            if not views:
                continue
            stream = self._describe_pending(admitted, progress, loop.time())
            decision = self._rule.decide(
                loop.time(),
                stream,
                views,
                estimator,
                may_wait=not context.is_stopping(),
                start_share=self._start_share(admitted) if waits else 1.0,
                generation_time=generation.estimate(admitted.request.output_tokens),
            )
            if waits == 0 or not isinstance(decision, WaitForEngine):
                costs = {view.engine: self._rule.cost(stream, view) for view in views}
                silent = len(candidates) - len(views)
                context.telemetry.record_placement(admitted, decision, costs, silent, placement)
            if isinstance(decision, RefuseStream):
                return decision
            if isinstance(decision, WaitForEngine):
                await asyncio.sleep(decision.delay)
                waits += 1
                continue
            server = next(s for s in candidates if s.server_id == decision.engine)
            if self._try_take(server):
                view = next(view for view in views if view.engine == decision.engine)
                memory = context.prompt_memory(admitted.service.name)
                memory.on_placed(loop.time(), admitted.request, view, views)
                context.telemetry.record_prompt_choice(admitted, view, views)
                has_room = self._rule.has_room_for_copies(stream, views)
                standby = self._rank_standby(admitted, progress, server) if has_room else None
                return EngineSelection(
                    server,
                    standby,
                    None,
                    self._rule.work_ahead(stream, view),
                    decision.is_late,
                    self._rule.own_work(stream, view),
                    view.kept_tokens,
                )
        return None

    def _choose_excluded(
        self, admitted: AdmittedRequest, progress: StreamProgress, avoided: frozenset[str]
    ) -> frozenset[str]:
        """Returns the ids of the engines to leave out; they are used if there are no others."""
        failed = frozenset(progress.failed_engines)
        for excluded in (failed | avoided, failed):
            if self._next_admission(admitted, excluded) < float("inf"):
                return excluded
        return frozenset()

    def _next_admission(self, admitted: AdmittedRequest, excluded: frozenset[str]) -> float:
        """Computes when an engine takes a request; infinite if all engines are left out."""
        now = asyncio.get_running_loop().time()
        return self._context.registry.next_admission(now, admitted.service.name, excluded)

    async def _wait_for_admission(
        self, admitted: AdmittedRequest, progress: StreamProgress, excluded: frozenset[str]
    ) -> RefuseStream | None:
        """Waits for an engine that takes requests again; returns a refusal if that is too late."""
        context = self._context
        now = asyncio.get_running_loop().time()
        decision = self._rule.decide_without_engine(
            now,
            self._describe_pending(admitted, progress, now),
            self._next_admission(admitted, excluded),
            context.first_event_estimator(admitted.service.name),
            may_wait=not context.is_stopping(),
        )
        if isinstance(decision, RefuseStream):
            return decision
        await asyncio.sleep(decision.delay)
        return None

    async def _fetch_views(
        self, admitted: AdmittedRequest, candidates: list[BackendServer]
    ) -> list[EngineView]:
        """Fetches the reports of the candidates; those that send none are suspended."""
        context = self._context
        reports = await context.report_client.fetch_reports(candidates, REPORT_TIMEOUT)
        now = asyncio.get_running_loop().time()
        self._recent_dispatches = [
            entry for entry in self._recent_dispatches if entry[0] > now - RECENT_DISPATCH_WINDOW
        ]
        homes = context.prompt_memory(admitted.service.name).list_homes(now, admitted.request)
        views = []
        for server in candidates:
            report = reports.get(server.server_id)
            if report is None:
                context.registry.on_unreachable(now, server)
            elif not self._remove_if_replaced(server, report):
                views.append(self._build_view(admitted, server, report, homes))
        return views

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
        self, admitted: AdmittedRequest, excluded: frozenset[str], waits: int
    ) -> list[BackendServer]:
        """Lists the engines that take requests now, of which a stream is offered the best one."""
        registry = self._context.registry
        now = asyncio.get_running_loop().time()
        service = admitted.service.name
        ranked: Iterable[BackendServer]
        if waits:
            ranked = registry.list_preferred(now, service, excluded)
        else:
            ranked = registry.rank_servers(now, service, admitted.request.affinity, excluded)
        return choose_candidates(
            (server for server in ranked if registry.admits(now, server.server_id)),
            lambda server: server.data_centre == self._context.cfg.data_centre,
            waits,
            registry.list_rated(now, service, excluded),
            self._context.prompt_memory(service).list_candidates(now, admitted.request, excluded),
        )

    def _start_share(self, admitted: AdmittedRequest) -> float:
        """Computes which share of waiting streams may start on an engine that looks idle."""
        engines = self._context.registry.count(admitted.service.name)
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
            {*progress.failed_engines, server.server_id},
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
            typical_tokens=estimator.typical_tokens,
        )
