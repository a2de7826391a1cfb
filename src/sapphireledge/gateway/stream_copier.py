"""Copies of one running stream, made when the engine with its copy is lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from sapphireledge.core.standby import CopyLimits, CopyRule, CopyStep, Protection
from sapphireledge.gateway.backend_response_error import BackendResponseError
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
    """Keeps a stream protected during one attempt; a context manager around its events.

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
        self._is_copying = False
        self._is_over = False
        self._is_source_lost = False

    def __enter__(self) -> Self:
        return self

    def __exit__(self, exc_type: type[BaseException] | None, *_: object) -> None:
        """Gives the copy up, unless the engine is lost and the stream goes on from the copy."""
        self._is_over = True
        self._is_source_lost = exc_type is not None and issubclass(exc_type, BackendResponseError)
        if self._handle and not self._is_source_lost:
            self._progress.on_copied(None)
            self._release(self._handle)

    def check(self, now: float) -> None:
        """Copies the stream in the background if that is due; called with each event.

        Args:
            now: Event loop time in seconds.
        """
        lifetime = self._admitted.service.copy_lifetime
        if now < self._check_at or self._holder is None or self._is_copying or lifetime <= 0.0:
            return
        self._check_at = now + CHECK_INTERVAL
        protection = self._describe_protection(now, self._holder, lifetime)
        step = COPY_RULE.decide(now, protection, lifetime, self._context.transfers)
        if step is CopyStep.KEEP:
            return
        holder = self._holder if step is CopyStep.REFRESH else self._choose_holder(self._holder)
        self._tried_at = now
        if holder is not None:
            self._is_copying = True
            self._context.transfers += 1
            self._context.run_in_background(self._copy(step, holder))

    def _describe_protection(
        self, now: float, holder: BackendServer, lifetime: float
    ) -> Protection:
        """Describes what protects the stream."""
        service = self._admitted.service.name
        is_expired = self._copied_at is not None and now - self._copied_at >= lifetime
        return Protection(
            is_held=not is_expired and self._context.is_running(holder),
            ends_at=self._estimate_end(now),
            is_crowded=self._context.count_waiting(service) > 0,
            copied_at=self._copied_at,
            failures=self._failures,
            tried_at=self._tried_at,
        )

    def _choose_holder(self, lost: BackendServer) -> BackendServer | None:
        """Chooses another engine for the copy, away from the lost one if possible."""
        self._lost_centres.add(lost.data_centre)
        return choose_standby(
            self._context,
            self._admitted,
            self._progress,
            self._source,
            frozenset(self._lost_holders | {lost.server_id}),
            frozenset(self._lost_centres),
        )

    def _estimate_end(self, now: float) -> float:
        """Estimates when the stream ends at the pace of the streams that run now."""
        last = self._progress.last_event
        received = self._progress.delivered if last is None else last + 1
        estimator = self._context.generation_estimator(self._admitted.service.name)
        rest = estimator.estimate_at_pace(now, self._admitted.request.output_tokens, received)
        return now + rest if rest else float("inf")

    async def _copy(self, step: CopyStep, holder: BackendServer) -> None:
        """Transfers what the stream has added, and records the copy."""
        started_at = asyncio.get_running_loop().time()
        # An unexpected error counts as a failure, too.
        self._failures += 1
        try:
            request_id = self._admitted.request.request_id
            result = await self._context.copies.copy(self._source, request_id, holder)
        finally:
            self._is_copying = False
            self._context.transfers -= 1
        self._context.telemetry.record_copy(self._admitted, step, holder, result.reason)
        if result.is_refused:
            self._lost_holders.add(holder.server_id)
        if result.handle:
            self._record(holder, result.handle, started_at)

    def _record(self, holder: BackendServer, handle: str, started_at: float) -> None:
        """Records a copy; one that comes after the end of the attempt is given up."""
        if self._is_over:
            if not self._is_source_lost:
                self._release(handle)
            return
        self._failures = 0
        if self._handle and self._handle != handle:
            self._release(self._handle)
        self._holder, self._handle, self._copied_at = holder, handle, started_at
        self._progress.on_copied(Replica(holder, self._source, handle))

    def _release(self, handle: str) -> None:
        """Gives a copy up in the background; if that fails, the copy expires."""
        self._context.run_in_background(self._context.release_copy(self._source, handle))
