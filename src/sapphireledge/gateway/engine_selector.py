"""Selection of an engine and its standby based on current load reports."""

from __future__ import annotations

import asyncio
from copy import deepcopy
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.placement import PlacementRule, WaitForEngine
from sapphireledge.core.waiting import WaitingLimits, WaitingLine
from sapphireledge.gateway.describe_stream import describe_work
from sapphireledge.gateway.engine_looks import EngineLooks
from sapphireledge.gateway.engine_offers import PLACEMENT_LIMITS, EngineOffers
from sapphireledge.gateway.engine_selection import EngineSelection
from sapphireledge.gateway.engine_views import EngineViews
from sapphireledge.gateway.fetched_looks import FetchedLooks
from sapphireledge.gateway.line_preview import LinePreview
from sapphireledge.gateway.stream_line import StreamLine

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from sapphireledge.core.placement import RefuseStream
    from sapphireledge.core.shared_load import SharedLoad, WorkspaceStreams
    from sapphireledge.core.waiting import WaitingWork
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.look_source import LookSource
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["EngineSelector"]

WAITING_LIMITS = WaitingLimits()
"""Limits and weights of the waiting line."""


class EngineSelector:
    """Selects the engine of a stream from the load reports of a few candidates."""

    def __init__(
        self, context: GatewayContext, source: LookSource | None = None, rng: Random | None = None
    ) -> None:
        """Creates the selector.

        Args:
            context: Components of the instance.
            source: Source of load reports, by default the engines.
            rng: Source of the jitter of waiting times, by default seeded by the system.
        """
        self._context = context
        self._rng = Random() if rng is None else rng
        self._recent_dispatches: list[tuple[float, str, int]] = []
        self._lines: dict[str, StreamLine | LinePreview] = {}
        self._looks = EngineLooks(context, FetchedLooks(context) if source is None else source)
        self._offers = EngineOffers(
            context,
            PlacementRule(PLACEMENT_LIMITS, self._rng),
            EngineViews(context, self._recent_dispatches),
            lambda service: self._line(service).order,
        )

    @property
    def waiting(self) -> int:
        """Number of streams that wait in the lines of all services."""
        return sum(len(line.order) for line in self._lines.values())

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
        offers = self._offers
        replica = progress.take_replica()
        if (
            replica is not None
            and self._context.is_running(replica.holder)
            and offers.permits(admitted, progress, replica.holder)
        ):
            return offers.select_known(admitted, progress, replica.holder, replica)
        holder = await self._looks.find_prompt_holder(admitted, progress)
        if holder is not None and offers.permits(admitted, progress, holder):
            return offers.select_known(admitted, progress, holder)
        return await self._place(admitted, progress, avoided)

    def copy_for(
        self, context: GatewayContext, source: LookSource, service: str
    ) -> tuple[EngineSelector, LinePreview]:
        """Creates a selector that selects like this one, without effect on it.

        Args:
            context: Copy of the components of the instance.
            source: Source of load reports.
            service: Name of the service of which a stream is placed.

        Returns:
            The selector, and the line that a stream joins there.
        """
        copied = EngineSelector(context, source, deepcopy(self._rng))
        copied._recent_dispatches.extend(self._recent_dispatches)
        line = self._lines.get(service)
        shared = context.shared_load
        streams = partial(_read_streams, shared, service)
        order = WaitingLine(WAITING_LIMITS, Random()) if line is None else line.order.copy(streams)
        preview = copied._lines[service] = LinePreview(order)
        return copied, preview

    def start_share(self, service: str) -> float:
        """Computes which share of waiting streams may start on an engine that looks idle.

        Args:
            service: Name of the service.

        Returns:
            The share, at most 1.
        """
        return self._looks.start_share(service)

    async def _place(
        self, admitted: AdmittedRequest, progress: StreamProgress, avoided: frozenset[str]
    ) -> EngineSelection | RefuseStream | None:
        """Places a stream by load reports, after it has waited in line if it has to."""
        line = self._line(admitted.service.name)
        describe = partial(self._describe_work, admitted, progress)
        offer = partial(self._offers.offer, admitted, progress, avoided)
        now = asyncio.get_running_loop().time()
        line.order.on_arrival(now, describe())
        excluded = self._offers.choose_excluded(admitted, progress, avoided)
        look = await self._looks.look_for_arrival(admitted, excluded)
        result: EngineSelection | RefuseStream | WaitForEngine | None
        if line.order.is_preceded(asyncio.get_running_loop().time(), describe()):
            result = await line.wait(admitted, describe, offer, look, progress.version)
        else:
            result = offer(look, True, 0)
            if isinstance(result, EngineSelection):
                line.order.on_start(asyncio.get_running_loop().time(), describe())
        if isinstance(result, WaitForEngine):
            result = await line.wait(admitted, describe, offer, origin=progress.version)
        return result

    def retain_services(self, services: Collection[str]) -> None:
        """Forgets the empty waiting lines of other services.

        Args:
            services: Names of the services to keep.
        """
        for name in self._lines.keys() - services:
            if not len(self._lines[name].order):
                del self._lines[name]
                self._context.load_exchange.remove_line(name)

    def _describe_work(self, admitted: AdmittedRequest, progress: StreamProgress) -> WaitingWork:
        """Describes a stream to the waiting line."""
        now = asyncio.get_running_loop().time()
        return describe_work(self._context, admitted, progress, now)

    def _line(self, service: str) -> StreamLine | LinePreview:
        """Returns the waiting line of a service, created on first use."""
        line = self._lines.get(service)
        if line is None:
            shared = self._context.shared_load
            streams = partial(_read_streams, shared, service)
            order = WaitingLine(WAITING_LIMITS, Random(), streams)
            self._context.load_exchange.add_line(service, order)
            line = StreamLine(
                order,
                self._context.telemetry,
                partial(self._looks.look_for_line, service),
                partial(self._looks.start_share, service),
            )
            self._lines[service] = line
            self._context.count_waiting = self._count_waiting
            self._context.on_first_event = self._on_first_event
            self._context.registry.on_added = self._on_server_added
        return line

    def _count_waiting(self, service: str) -> int:
        """Counts the streams of a service that wait in line."""
        line = self._lines.get(service)
        return 0 if line is None else len(line.order)

    def _on_first_event(self, server: BackendServer) -> None:
        """Wakes the line of a service whose engine has processed a prompt of this instance."""
        line = self._lines.get(server.service)
        if isinstance(line, StreamLine):
            line.on_place_freed(server.server_id)

    def _on_server_added(self, server: BackendServer) -> None:
        """Wakes the line of a service that has a further engine."""
        line = self._lines.get(server.service)
        if isinstance(line, StreamLine):
            line.wake()


def _read_streams(shared: SharedLoad, service: str, now: float) -> Mapping[str, WorkspaceStreams]:
    """Returns the streams of each workspace at the other instances of the data centre."""
    return shared.streams(now, service)
