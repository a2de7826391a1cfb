"""Selection of an engine and its standby based on current load reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.gateway.engine_selection import EngineSelection

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_load import EngineLoad
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["EngineSelector"]

LOCAL_CANDIDATES = 2
"""Engines in the local data centre whose load reports are fetched per selection."""

CACHE_CANDIDATES = 24
"""Engines queried for a cached prompt when a caller resumes a stream. Processing a prompt of 8,000
tokens again is charged a hundred times as much as all these queries together."""

REMOTE_CANDIDATES = 3
"""Engines in other data centres whose load reports are fetched per selection."""

REPORT_TIMEOUT = 0.15
"""Seconds to wait for reports and cache listings: two round trips between regions and a margin."""

REMOTE_COST = 0.2
"""Cost of an engine in another data centre, in prompts processed before the new one."""

RUNNING_COST = 0.3
"""Cost of a running generation, in prompts processed before the new one. A prompt of 8,000 tokens
delays every running generation by about a second, and longer runs are more likely to be hit by a
failure."""

MEMORY_FULL_COST = 4.0
"""Cost of an engine whose KV cache has no room for the prompt, in prompts processed before it."""

RECENT_DISPATCH_WINDOW = 0.4
"""Seconds for which a request sent by this instance may be missing from an engine's reports."""


class EngineSelector:
    """Selects the engine with the fewest prompts to process from a few candidates.

    Each instance queries only a few candidates of its own. The cost of a selection therefore does
    not grow with the number of engines, and stale reports do not make all instances pick the same
    engine.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._recent_dispatches: list[tuple[float, str]] = []

    async def select(
        self, admitted: AdmittedRequest, progress: StreamProgress
    ) -> EngineSelection | None:
        """Selects the engines on which a stream starts or resumes.

        Args:
            admitted: The request.
            progress: Progress of the stream so far.

        Returns:
            The selection, or None if no engine is available.
        """
        replica_source = progress.take_replica_holder()
        if replica_source is not None and self._context.registry.is_available(
            replica_source.server_id
        ):
            server: BackendServer | None = replica_source
        else:
            replica_source = None
            server = await self._choose_engine(admitted, progress)
        if server is None:
            return None
        self._recent_dispatches.append((asyncio.get_running_loop().time(), server.server_id))
        return EngineSelection(
            server, self._choose_standby(admitted, progress, server), replica_source
        )

    async def _choose_engine(
        self, admitted: AdmittedRequest, progress: StreamProgress
    ) -> BackendServer | None:
        """Chooses the engine that holds the prompt, or else the candidate with the lowest cost."""
        holder = await self._find_prompt_holder(admitted, progress)
        if holder is not None:
            return holder
        candidates = self._list_candidates(admitted, progress.failed_engines)
        if not candidates and progress.failed_engines:
            candidates = self._list_candidates(admitted, set())
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        reports = await self._context.report_client.fetch_reports(candidates, REPORT_TIMEOUT)
        now = asyncio.get_running_loop().time()
        candidates = [
            server for server in candidates if not self._remove_if_replaced(server, reports)
        ] or candidates
        self._recent_dispatches = [
            entry for entry in self._recent_dispatches if entry[0] > now - RECENT_DISPATCH_WINDOW
        ]
        costs = {
            server.server_id: self._estimate_cost(admitted, server, reports[server.server_id])
            for server in candidates
            if server.server_id in reports
        }
        for server in candidates:
            if server.server_id not in costs:
                self._context.registry.on_unreachable(now, server)
        self._context.telemetry.record_engine_selection(admitted, costs, len(candidates))
        if not costs:
            return candidates[0]
        return min(
            (server for server in candidates if server.server_id in costs),
            key=lambda server: costs[server.server_id],
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

    def _remove_if_replaced(self, server: BackendServer, reports: Mapping[str, EngineLoad]) -> bool:
        """Removes an engine and returns True if another incarnation reports at its address."""
        report = reports.get(server.server_id)
        if (
            report is None
            or not report.started_at_ms
            or not server.started_at_ms
            or report.started_at_ms == server.started_at_ms
        ):
            return False
        self._context.registry.remove(server.server_id)
        self._context.pool.drop(server.server_id)
        return True

    def _list_candidates(
        self, admitted: AdmittedRequest, excluded: set[str]
    ) -> list[BackendServer]:
        """Lists the best-ranked engines of the local and of other data centres."""
        now = asyncio.get_running_loop().time()
        local_centre = self._context.cfg.data_centre
        ranked = self._context.registry.rank_servers(
            now, admitted.service.name, admitted.request.affinity, excluded
        )
        local = [server for server in ranked if server.data_centre == local_centre]
        remote = [server for server in ranked if server.data_centre != local_centre]
        return local[:LOCAL_CANDIDATES] + remote[:REMOTE_CANDIDATES]

    def _estimate_cost(
        self, admitted: AdmittedRequest, server: BackendServer, load: EngineLoad
    ) -> float:
        """Estimates the waiting time at an engine, in prompts processed before the new one."""
        cost = load.waiting + load.prefilling + RUNNING_COST * load.running
        cost += sum(1 for _, server_id in self._recent_dispatches if server_id == server.server_id)
        if server.data_centre != self._context.cfg.data_centre:
            cost += REMOTE_COST
        if (
            load.memory_total
            and load.memory_used + admitted.request.prompt_tokens > load.memory_total
        ):
            cost += MEMORY_FULL_COST
        return cost

    def _choose_standby(
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
