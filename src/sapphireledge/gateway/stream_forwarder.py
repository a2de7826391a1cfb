"""Requests that are answered by a stream of events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.engine_selector import EngineSelector
from sapphireledge.gateway.outcome import OutcomeKind
from sapphireledge.gateway.stream_attempt import StreamAttempt
from sapphireledge.gateway.stream_progress import StreamProgress

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.caller_connection import CallerConnection
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.outcome import Outcome

__all__ = ["StreamForwarder"]

RETRY_AFTER = 0.5
"""Seconds after which a refused caller may come back; engines free their memory in seconds."""

MIN_ATTEMPT_TIME = 0.2
"""Time in seconds below which a stream is not started; no engine reads a prompt in it."""


class StreamForwarder:
    """Delivers one stream, through the loss of engines if the route permits."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._selector = EngineSelector(context)

    async def forward(self, conn: CallerConnection, admitted: AdmittedRequest) -> Failure | None:
        """Serves one request.

        Args:
            conn: Connection of the caller.
            work: The request.

        Returns:
            None if an answer was delivered or broken off after its head, otherwise the refusal.
        """
        progress = StreamProgress(admitted.request.last_event)
        failed_outcome: Outcome | None = None
        while True:
            if not self._try_begin_attempt(admitted, progress):
                return await self._fail_request(conn, progress, failed_outcome)
            selection = await self._selector.select(admitted, progress)
            if selection is None:
                return await self._fail_request(conn, progress, failed_outcome)
            if progress.attempts:
                self._context.journal.record_resume(admitted, selection, progress.last_event)
            progress.on_attempt(selection)
            outcome = await StreamAttempt(self._context, conn, admitted, progress).run(selection)
            if outcome.kind is OutcomeKind.ANSWERED:
                await _deliver_plain_response(conn, outcome)
                return None
            progress.on_outcome(outcome)
            if outcome.kind is OutcomeKind.FAILED:
                failed_outcome = outcome
            if outcome.kind is OutcomeKind.OUT_OF_TIME or not self._may_repeat(admitted, progress):
                return await self._fail_request(conn, progress, failed_outcome)

    def _try_begin_attempt(self, admitted: AdmittedRequest, progress: StreamProgress) -> bool:
        """Whether time, attempts and retry budget are left for another engine."""
        now = asyncio.get_running_loop().time()
        if (
            len(progress.contacted) >= admitted.route.max_attempts
            or admitted.deadline - now < MIN_ATTEMPT_TIME
        ):
            return False
        retry_allowance = self._context.retry_allowance(admitted.service.name)
        if not progress.contacted:
            retry_allowance.on_request()
            return True
        if retry_allowance.try_spend(now):
            return True
        self._context.journal.record_denied_retry(admitted, progress.last_reason)
        return False

    def _may_repeat(self, admitted: AdmittedRequest, progress: StreamProgress) -> bool:
        """Whether what happened so far permits another run."""
        return admitted.route.resumable or not progress.may_have_executed

    async def _fail_request(
        self, conn: CallerConnection, progress: StreamProgress, failed_outcome: Outcome | None
    ) -> Failure | None:
        """Ends a request that no engine can serve."""
        if conn.response_started:
            # Closing without the last chunk tells the caller that the stream is incomplete.
            conn.abort()
            return None
        if failed_outcome is not None and failed_outcome.head is not None:
            await _deliver_plain_response(conn, failed_outcome)
            return None
        if progress.may_have_executed:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, progress.last_reason, Ran.UNKNOWN)
        return Failure(ErrorKind.OVERLOADED, progress.last_reason, Ran.NO, RETRY_AFTER)


async def _deliver_plain_response(conn: CallerConnection, outcome: Outcome) -> None:
    """Delivers an answer that is no stream, such as a refusal by the engine's own rules."""
    if not conn.response_started and outcome.head is not None:
        await conn.respond(outcome.head.status, outcome.head.headers, outcome.body)
