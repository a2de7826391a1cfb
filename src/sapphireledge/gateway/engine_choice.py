"""Choice of an engine and of its standby by fresh reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.gateway.engine_plan import EnginePlan

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_load import EngineLoad
    from sapphireledge.gateway.gateway_parts import GatewayParts
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["EngineChoice"]

LOCAL_CANDIDATES = 2
"""Engines of the own data centre whose reports are read for one choice."""

CACHE_CANDIDATES = 24
"""Engines that are asked for a prompt that was read before. An engine that reads 8,000 tokens again
is charged a hundred times as much as all these questions."""

REMOTE_CANDIDATES = 3
"""Engines of other data centres whose reports are read for one choice."""

REPORT_LIMIT = 0.15
"""Seconds to wait for reports: two round trips between regions and a margin."""

REMOTE_COST = 0.2
"""Cost of another data centre, in prompts that are read before the own one."""

RUNNING_COST = 0.3
"""Cost of a running generation, in prompts that are read before the own one. A prompt of 8,000
tokens holds up every running generation by about a second, and longer runs meet more losses."""

FULL_COST = 4.0
"""Cost of an engine whose memory has no room for the prompt, in prompts."""

RECENT = 0.4
"""Seconds for which an own dispatch is missing in the reports."""


class EngineChoice:
    """Chooses among a few engines by the prompts that they still have to read.

    Every instance asks its own few candidates, so that the cost of a choice does not grow with the
    number of engines, and stale reports do not draw all instances to the same engine.
    """

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self._recent: list[tuple[float, str]] = []

    async def plan(self, work: AdmittedRequest, progress: StreamProgress) -> EnginePlan | None:
        """Chooses where a stream starts or goes on.

        Args:
            work: The request.
            progress: What happened so far.

        Returns:
            The plan, or None if no engine is left.
        """
        source = progress.take_copy()
        if source is not None and self._parts.registry.is_usable(source.server_id):
            server: BackendServer | None = source
        else:
            source = None
            server = await self._choose(work, progress)
        if server is None:
            return None
        self._recent.append((asyncio.get_running_loop().time(), server.server_id))
        return EnginePlan(server, self._standby(work, progress, server), source)

    async def _choose(
        self, work: AdmittedRequest, progress: StreamProgress
    ) -> BackendServer | None:
        """Compares the reports of the best candidates."""
        holder = await self._holder(work, progress)
        if holder is not None:
            return holder
        candidates = self._candidates(work, progress.avoid)
        if not candidates and progress.avoid:
            candidates = self._candidates(work, set())
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        reports = await self._parts.scout.ask_all(candidates, REPORT_LIMIT)
        now = asyncio.get_running_loop().time()
        candidates = [
            server for server in candidates if not self._is_replaced(server, reports)
        ] or candidates
        self._recent = [entry for entry in self._recent if entry[0] > now - RECENT]
        costs = {
            server.server_id: self._cost(work, server, reports[server.server_id])
            for server in candidates
            if server.server_id in reports
        }
        for server in candidates:
            if server.server_id not in costs:
                self._parts.registry.on_lost(now, server)
        self._parts.journal.engine_chosen(work, costs, len(candidates))
        if not costs:
            return candidates[0]
        return min(
            (server for server in candidates if server.server_id in costs),
            key=lambda server: costs[server.server_id],
        )

    async def _holder(
        self, work: AdmittedRequest, progress: StreamProgress
    ) -> BackendServer | None:
        """Finds the engine that read the prompt when the caller continues a broken stream."""
        if work.request.last_event is None or progress.attempts:
            return None
        own = self._parts.cfg.data_centre
        now = asyncio.get_running_loop().time()
        ranked = self._parts.registry.rank(now, work.service.name, work.request.affinity)
        ranked.sort(key=lambda server: server.data_centre != own)
        asked = ranked[:CACHE_CANDIDATES]
        holders = await self._parts.scout.find_holders(asked, work.request.affinity, REPORT_LIMIT)
        self._parts.journal.holders_found(work, holders, len(asked))
        return next((server for server in asked if server.server_id in holders), None)

    def _is_replaced(self, server: BackendServer, reports: Mapping[str, EngineLoad]) -> bool:
        """Whether another incarnation answers at the address of an engine, which is forgotten."""
        report = reports.get(server.server_id)
        if report is None or not report.born or not server.born or report.born == server.born:
            return False
        self._parts.registry.remove(server.server_id)
        self._parts.pool.drop(server.server_id)
        return True

    def _candidates(self, work: AdmittedRequest, avoid: set[str]) -> list[BackendServer]:
        """Takes the best engines of the own and of the other data centres."""
        now = asyncio.get_running_loop().time()
        own = self._parts.cfg.data_centre
        ranked = self._parts.registry.rank(now, work.service.name, work.request.affinity, avoid)
        local = [server for server in ranked if server.data_centre == own]
        remote = [server for server in ranked if server.data_centre != own]
        return local[:LOCAL_CANDIDATES] + remote[:REMOTE_CANDIDATES]

    def _cost(self, work: AdmittedRequest, server: BackendServer, load: EngineLoad) -> float:
        """Estimates the wait at an engine, in prompts."""
        cost = load.waiting + load.reading + RUNNING_COST * load.running
        cost += sum(1 for _, name in self._recent if name == server.server_id)
        if server.data_centre != self._parts.cfg.data_centre:
            cost += REMOTE_COST
        if load.memory_total and load.memory_used + work.request.prompt_tokens > load.memory_total:
            cost += FULL_COST
        return cost

    def _standby(
        self, work: AdmittedRequest, progress: StreamProgress, server: BackendServer
    ) -> BackendServer | None:
        """Chooses an engine of another data centre for the running copy."""
        if not (work.service.standby_copies and work.route.resumable):
            return None
        now = asyncio.get_running_loop().time()
        ranked = self._parts.registry.rank(
            now,
            work.service.name,
            work.request.affinity,
            {*progress.avoid, server.server_id},
            {*progress.lost_centres, server.data_centre},
        )
        return ranked[0] if ranked else None
