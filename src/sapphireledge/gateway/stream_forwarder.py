"""Requests that are answered by a stream of events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.engine_choice import EngineChoice
from sapphireledge.gateway.outcome import OutcomeKind
from sapphireledge.gateway.stream_attempt import StreamAttempt
from sapphireledge.gateway.stream_progress import StreamProgress

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
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
        self._choice = EngineChoice(parts)

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
            if not self._may_try(work, progress):
                return await self._give_up(conn, progress, failed)
            plan = await self._choice.plan(work, progress)
            if plan is None:
                return await self._give_up(conn, progress, failed)
            if progress.attempts:
                self._parts.journal.stream_resumed(work, plan, progress.last_event)
            progress.on_attempt(plan)
            outcome = await StreamAttempt(self._parts, conn, work, progress).run(plan)
            if outcome.kind is OutcomeKind.ANSWERED:
                await _deliver_whole(conn, outcome)
                return None
            progress.on_outcome(outcome)
            if outcome.kind is OutcomeKind.FAILED:
                failed = outcome
            if outcome.kind is OutcomeKind.OUT_OF_TIME or not self._may_repeat(work, progress):
                return await self._give_up(conn, progress, failed)

    def _may_try(self, work: AdmittedRequest, progress: StreamProgress) -> bool:
        """Whether time, attempts and retry budget are left for another engine."""
        now = asyncio.get_running_loop().time()
        if len(progress.asked) >= work.route.max_attempts or work.deadline - now < MIN_USEFUL:
            return False
        allowance = self._parts.allowance(work.service.name)
        if not progress.asked:
            allowance.on_request()
            return True
        if allowance.try_spend(now):
            return True
        self._parts.journal.retry_denied(work, progress.last_reason)
        return False

    def _may_repeat(self, work: AdmittedRequest, progress: StreamProgress) -> bool:
        """Whether what happened so far permits another run."""
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
