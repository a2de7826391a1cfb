"""Requests that are answered by a stream of events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.outcome import OutcomeKind
from sapphireledge.gateway.stream_attempt import StreamAttempt
from sapphireledge.gateway.stream_progress import StreamProgress

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_connection import CallerConnection
    from sapphireledge.gateway.gateway_parts import GatewayParts
    from sapphireledge.gateway.outcome import Outcome

__all__ = ["StreamForwarder"]

RETRY_AFTER = 0.5
"""Seconds after which a refused caller may come back; engines free their memory in seconds."""

MIN_USEFUL = 0.2
"""Time in seconds below which a stream is not started; no engine reads a prompt in it."""


class StreamForwarder:
    """Delivers one stream, through the loss of engines if the route permits."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts

    async def forward(self, conn: CallerConnection, work: AdmittedRequest) -> Failure | None:
        """Serves one request.

        Args:
            conn: Connection of the caller.
            work: The request.

        Returns:
            None if an answer was delivered or broken off after its head, otherwise the refusal.
        """
        progress = StreamProgress(work.request.last_event)
        failed: Outcome | None = None
        while True:
            plan = self._plan(work, progress)
            if plan is None:
                return await self._give_up(conn, progress, failed)
            server, standby, source = plan
            progress.on_attempt(server, standby)
            attempt = StreamAttempt(self._parts, conn, work, progress)
            outcome = await attempt.run(server, standby, source)
            if outcome.kind is OutcomeKind.ANSWERED:
                await _deliver_whole(conn, outcome)
                return None
            progress.on_outcome(outcome)
            if outcome.kind is OutcomeKind.FAILED:
                failed = outcome
            if outcome.kind is OutcomeKind.OUT_OF_TIME or not self._may_repeat(work, progress):
                return await self._give_up(conn, progress, failed)

    def _plan(
        self, work: AdmittedRequest, progress: StreamProgress
    ) -> tuple[BackendServer, BackendServer | None, BackendServer | None] | None:
        """Chooses engine, standby and the engine that holds a copy, or None at the end."""
        parts = self._parts
        registry = parts.registry
        now = asyncio.get_running_loop().time()
        service = work.service.name
        if progress.attempts >= work.route.max_attempts or work.deadline - now < MIN_USEFUL:
            return None
        affinity = work.request.affinity
        source = progress.take_copy()
        if source is not None and registry.state(source.server_id) is not None:
            server: BackendServer | None = source
        else:
            source = None
            server = registry.choose(
                now, service, affinity, progress.avoid, progress.lost_centres
            ) or registry.choose(now, service, affinity)
        if server is None:
            return None
        if progress.attempts and not parts.allowance(service).try_spend(now):
            parts.journal.retry_denied(work, server)
            return None
        if not progress.attempts:
            parts.allowance(service).on_request()
        standby = None
        if work.service.standby_copies and work.route.resumable:
            standby = registry.choose(
                now,
                service,
                affinity,
                {*progress.avoid, server.server_id},
                {*progress.lost_centres, server.data_centre},
            )
        return server, standby, source

    def _may_repeat(self, work: AdmittedRequest, progress: StreamProgress) -> bool:
        """Whether another engine may be asked."""
        return work.route.resumable or not progress.maybe_executed

    async def _give_up(
        self, conn: CallerConnection, progress: StreamProgress, failed: Outcome | None
    ) -> Failure | None:
        """Ends a request that no engine can serve."""
        if conn.answer_begun:
            # Closing without the last chunk tells the caller that the stream is incomplete.
            conn.abort()
            return None
        if failed is not None and failed.head is not None:
            await _deliver_whole(conn, failed)
            return None
        if progress.maybe_executed:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, progress.last_reason, Ran.UNKNOWN)
        return Failure(ErrorKind.OVERLOADED, progress.last_reason, Ran.NO, RETRY_AFTER)


async def _deliver_whole(conn: CallerConnection, outcome: Outcome) -> None:
    """Delivers an answer that is no stream, such as a refusal by the engine's own rules."""
    if not conn.answer_begun and outcome.head is not None:
        await conn.respond(outcome.head.status, outcome.head.headers, outcome.body)
