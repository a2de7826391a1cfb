"""Choice of the engines that a stream, or the waiting line of a service, looks at."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.placement import choose_candidates, compute_start_share

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_look import EngineLook
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.look_source import LookSource
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["CACHE_CANDIDATES", "EngineLooks"]

CACHE_CANDIDATES = 24
"""Engines queried for a cached prompt when a caller resumes a stream. Processing a prompt of 8,000
tokens again is charged a hundred times as much as all these queries together."""

ORIGIN_CANDIDATES = 2
"""Candidates of a version that a stream can choose from if it waits to go on there."""


class EngineLooks:
    """Chooses a few engines and takes a look at their reports.

    Each instance queries only a few candidates of its own. The cost of a selection therefore does
    not grow with the number of engines, and stale reports do not make all instances pick the same
    engine.
    """

    def __init__(self, context: GatewayContext, source: LookSource) -> None:
        """Creates the choice.

        Args:
            context: Components of the instance.
            source: Source of the reports.
        """
        self._context = context
        self._source = source

    async def look_for_arrival(
        self, admitted: AdmittedRequest, excluded: frozenset[str]
    ) -> EngineLook:
        """Takes a look at the candidates for a stream that arrives.

        Reports may name a rate or a pause; such engines are not listed again, so others are looked
        at if none of the candidates takes the stream.

        Args:
            admitted: The request.
            excluded: Ids of engines to leave out.

        Returns:
            The look.
        """
        while True:
            candidates = self._list_candidates(admitted, excluded)
            look = await self._source.take(candidates)
            now = asyncio.get_running_loop().time()
            admits = self._context.registry.admits
            if not candidates or any(admits(now, server.server_id) for server in candidates):
                return look

    async def look_for_line(
        self, service: str, round_: int, freed: frozenset[str], origins: frozenset[str]
    ) -> EngineLook:
        """Takes a look at the next candidates for the streams that wait.

        Args:
            service: Name of the service.
            round_: Number of earlier looks of the line.
            freed: Ids of engines at which a place became free.
            origins: Versions at which streams that wait have to go on.

        Returns:
            The look.
        """
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
        for origin in sorted(origins):
            candidates += self._choose_for_origin(service, round_, origin, candidates)
        return await self._source.take(candidates)

    async def find_prompt_holder(
        self, admitted: AdmittedRequest, progress: StreamProgress
    ) -> BackendServer | None:
        """Finds an engine that has the prompt cached if the caller resumes a broken stream.

        Args:
            admitted: The request.
            progress: Progress of the stream so far.

        Returns:
            The engine, local ones first, or None.
        """
        if admitted.request.last_event is None or progress.attempts:
            return None
        local_centre = self._context.cfg.data_centre
        now = asyncio.get_running_loop().time()
        service, origin = admitted.service.name, progress.version
        others: Collection[str] = ()
        if origin is not None:
            others = self._context.rollouts.excluded_from_continuation(service, origin)
        ranked = self._context.registry.rank_servers(
            now, service, admitted.request.affinity, others
        )
        ranked.sort(key=lambda server: server.data_centre != local_centre)
        queried = ranked[:CACHE_CANDIDATES]
        holders = await self._source.find_prompt_holders(admitted, queried)
        return next((server for server in queried if server.server_id in holders), None)

    def start_share(self, service: str) -> float:
        """Computes which share of waiting streams may start on an engine that looks idle.

        Args:
            service: Name of the service.

        Returns:
            The share, at most 1.
        """
        engines = self._context.registry.count(service)
        engines -= len(self._context.rollouts.unusable(service))
        return compute_start_share(engines, self._context.count_instances())

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

    def _choose_for_origin(
        self, service: str, round_: int, origin: str, chosen: Sequence[BackendServer]
    ) -> list[BackendServer]:
        """Chooses further candidates if only few of the chosen ones have a version."""
        if sum(server.version == origin for server in chosen) >= ORIGIN_CANDIDATES:
            return []
        now = asyncio.get_running_loop().time()
        excluded = self._context.rollouts.excluded_from_continuation(service, origin)
        ranked = self._context.registry.list_preferred(now, service, excluded)
        candidates = self._choose_candidates(service, ranked, round_, excluded)
        return [server for server in candidates if server not in chosen]

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
