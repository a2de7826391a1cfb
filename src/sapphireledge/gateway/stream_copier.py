"""Copies of one running stream, made when the engine with its copy is lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.standby import CopyLimits, CopyRule, CopyStep, Protection
from sapphireledge.gateway.choose_standby import choose_standby
from sapphireledge.gateway.replica import Replica

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_selection import EngineSelection
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["StreamCopier"]

CHECK_INTERVAL = 0.25
"""Seconds between two checks of a stream; a lost standby is known within about a second."""

COPY_RULE = CopyRule(CopyLimits())
"""When streams are copied."""


class StreamCopier:
    """Keeps a stream protected during one attempt.

    The engine sends its memory to the standby of the attempt by itself. If that standby is lost,
    the stream is copied on request to another engine, from which it goes on if its own engine is
    lost, too. Nothing is checked for streams that are not replicated.
    """

    def __init__(
        self,
        context: GatewayContext,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        selection: EngineSelection,
    ) -> None:
        """Creates the copier of an attempt.

        Args:
            context: Shared components.
            admitted: The request.
            progress: Progress of the stream.
            selection: Engines of the attempt.
        """
        self._context = context
        self._admitted = admitted
        self._progress = progress
        self._source = selection.server
        self._holder = selection.standby
        self._lost_holders: set[str] = set()
        self._lost_centres: set[str] = set()
        self._handle = ""
        self._copied_at: float | None = None
        self._tried_at = float("-inf")
        self._failures = 0
        self._check_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def check(self, now: float) -> None:
        """Copies the stream in the background if that is due; called with each event.

        Args:
            now: Event loop time in seconds.
        """
        if now < self._check_at or self._holder is None or self._is_copying:
            return
        self._check_at = now + CHECK_INTERVAL
        lifetime = self._admitted.service.copy_lifetime
        if lifetime <= 0.0:
            return
        is_held = self._is_held(now, self._holder, lifetime)
        if not is_held:
            self._progress.on_copy_lost()
        protection = Protection(
            is_held, self._estimate_end(now), self._copied_at, self._failures, self._tried_at
        )
        step = COPY_RULE.decide(now, protection, lifetime, len(self._context.copies_under_way))
        if step is CopyStep.KEEP:
            return
        holder = self._holder if step is CopyStep.REFRESH else self._choose_holder(self._holder)
        if holder is None:
            self._tried_at = now
            return
        self._task = self._context.start_copy(self._copy(step, holder))

    def close(self, *, is_complete: bool) -> None:
        """Ends the copies of the attempt.

        Args:
            is_complete: Whether the stream is complete, so that nobody goes on from its copy.
        """
        if self._task is not None:
            self._task.cancel()
        if is_complete and self._handle:
            self._context.start_copy(self._context.release_copy(self._source, self._handle))

    @property
    def _is_copying(self) -> bool:
        """Whether a transfer has not ended."""
        return self._task is not None and not self._task.done()

    def _is_held(self, now: float, holder: BackendServer, lifetime: float) -> bool:
        """Whether an engine is believed to hold the copy: it runs on, and has not dropped it."""
        if self._copied_at is not None and now - self._copied_at >= lifetime:
            return False
        state = self._context.registry.state(holder.server_id)
        return (
            state is not None
            and state.server.started_at_ms == holder.started_at_ms
            and not state.backpressure.is_leaving
            and not self._context.crashes.is_dead(holder)
        )

    def _choose_holder(self, lost: BackendServer) -> BackendServer | None:
        """Chooses another engine for the copy."""
        self._lost_holders.add(lost.server_id)
        self._lost_centres.add(lost.data_centre)
        excluded, centres = frozenset(self._lost_holders), frozenset(self._lost_centres)
        return choose_standby(
            self._context, self._admitted, self._progress, self._source, excluded, centres
        )

    def _estimate_end(self, now: float) -> float:
        """Estimates when the stream ends."""
        progress = self._progress
        estimator = self._context.generation_estimator(self._admitted.service.name)
        duration = estimator.estimate(self._admitted.request.output_tokens)
        if not duration or progress.first_event_at is None:
            return float("inf")
        return progress.first_event_at + duration

    async def _copy(self, step: CopyStep, holder: BackendServer) -> None:
        """Transfers what the stream has added, and records the copy."""
        loop = asyncio.get_running_loop()
        self._tried_at = loop.time()
        request_id = self._admitted.request.request_id
        handle, reason = await self._context.copies.copy(self._source, request_id, holder)
        self._context.telemetry.record_copy(self._admitted, step, holder, reason)
        if not handle:
            self._failures += 1
            if step is CopyStep.COPY:
                self._lost_holders.add(holder.server_id)
            return
        self._failures = 0
        self._holder, self._handle, self._copied_at = holder, handle, self._tried_at
        self._progress.on_copied(Replica(holder, self._source, handle))
