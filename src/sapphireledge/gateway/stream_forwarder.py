"""Forwarding of requests whose response is an event stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.placement import RefuseStream
from sapphireledge.core.quarantine import ClearVerdict, IsolateVerdict
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.engine_selector import EngineSelector
from sapphireledge.gateway.outcome import OutcomeKind
from sapphireledge.gateway.stream_attempt import StreamAttempt
from sapphireledge.gateway.stream_continuation import StreamContinuation
from sapphireledge.gateway.stream_progress import StreamProgress

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.caller_connection import CallerConnection
    from sapphireledge.gateway.engine_selection import EngineSelection
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.outcome import Outcome

__all__ = ["StreamForwarder", "refuse_overload"]

RETRY_AFTER = 0.5
"""Retry-After in seconds for refused streams; engines free memory within seconds."""

RECONNECT_PAUSE = 0.25
"""Seconds between attempts at engines that could not be reached, while there is no other one. They
are listed for some seconds after a crash, and some have started again by then."""


RETRY_POLL_INTERVAL = 0.1
"""Seconds between checks for a retry, which the first attempts of other streams earn."""


class StreamForwarder:
    """Forwards streams, and resumes them on another engine if the route permits."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._selector = EngineSelector(context)
        self._continuation = StreamContinuation(context)

    @property
    def selector(self) -> EngineSelector:
        """Selects the engines of streams."""
        return self._selector

    async def forward(self, conn: CallerConnection, admitted: AdmittedRequest) -> Failure | None:
        """Forwards one request and delivers the stream.

        Args:
            conn: Connection of the caller.
            admitted: The request.

        Returns:
            None if a response was delivered or aborted after its head, otherwise the failure to
            report.
        """
        progress = StreamProgress(admitted.request.last_event)
        refusal = await self._continuation.take_up(admitted, progress)
        if refusal is not None:
            return refusal
        try:
            return await self._attempt_until_complete(conn, admitted, progress)
        finally:
            if progress.first_event_at is not None:
                self._context.telemetry.record_stream(admitted, progress)

    async def _attempt_until_complete(
        self, conn: CallerConnection, admitted: AdmittedRequest, progress: StreamProgress
    ) -> Failure | None:
        """Makes attempts until the stream is complete or none is left to make."""
        failed_outcome: Outcome | None = None
        while True:
            verdict = await self._judge(admitted, progress)
            if isinstance(verdict, Failure):
                return await self._fail_condemned(conn, progress, failed_outcome, verdict)
            if conn.response_started:
                await self._wait_for_retry(admitted, progress)
            if not self._try_begin_attempt(admitted, progress):
                return await self._fail_request(conn, progress, failed_outcome)
            avoided = self._context.crashes.avoided_servers(verdict)
            selection = await self._select(admitted, progress, avoided)
            if isinstance(selection, RefuseStream):
                self._context.telemetry.record_stream_refusal(selection.reason)
                return refuse_overload(selection)
            if selection is None:
                return await self._fail_unplaced(conn, admitted, progress, failed_outcome)
            # Engines may have died of the same content while the stream waited for an engine.
            verdict = await self._judge(admitted, progress)
            if isinstance(verdict, Failure):
                return await self._fail_condemned(conn, progress, failed_outcome, verdict)
            if progress.attempts:
                self._context.telemetry.record_resume(admitted, selection, progress)
            progress.on_attempt(selection)
            isolated = isinstance(
                verdict, IsolateVerdict
            ) and selection.server.server_id not in self._context.crashes.avoided_servers(verdict)
            attempt = StreamAttempt(
                self._context, conn, admitted, progress, self._continuation.on_begun
            )
            outcome = await attempt.run(selection, isolated=isolated)
            if outcome.kind is OutcomeKind.ANSWERED:
                await _deliver_plain_response(conn, outcome)
                return None
            progress.on_outcome(outcome)
            if outcome.kind is OutcomeKind.FAILED:
                failed_outcome = outcome
            if outcome.kind is OutcomeKind.OUT_OF_TIME or not self._may_retry(admitted, progress):
                return await self._fail_request(conn, progress, failed_outcome)
            await self._pause_before_reconnect(admitted, progress)

    async def _select(
        self, admitted: AdmittedRequest, progress: StreamProgress, avoided: frozenset[str]
    ) -> EngineSelection | RefuseStream | None:
        """Selects engines of which the one that runs the stream has not restarted meanwhile."""
        while True:
            selection = await self._selector.select(admitted, progress, avoided)
            if selection is None or isinstance(selection, RefuseStream):
                return selection
            if await self._continuation.is_unchanged(progress, selection):
                return selection

    async def _pause_before_reconnect(
        self, admitted: AdmittedRequest, progress: StreamProgress
    ) -> None:
        """Waits if only engines are left that could not be reached, which refuse at once."""
        if not progress.could_not_connect:
            return
        now = asyncio.get_running_loop().time()
        registry, service = self._context.registry, admitted.service.name
        excluded = set(progress.failed_engines)
        if progress.version is not None:
            rollouts = self._context.rollouts
            excluded |= rollouts.excluded_from_continuation(service, progress.version)
        if registry.next_admission(now, service, excluded) == float("inf"):
            await asyncio.sleep(min(RECONNECT_PAUSE, max(0.0, admitted.deadline - now)))

    async def _wait_for_retry(self, admitted: AdmittedRequest, progress: StreamProgress) -> None:
        """Holds an answer that its engine did not break off until there is a retry, if that is in
        time."""
        loop = asyncio.get_running_loop()
        allowance = self._context.retry_allowance(admitted.service.name)
        while not progress.was_broken_off:
            now = loop.time()
            retry_at = allowance.next_retry_at(now)
            if retry_at <= now or not progress.permits_attempt(admitted, retry_at):
                return
            await asyncio.sleep(min(RETRY_POLL_INTERVAL, retry_at - now))

    def _try_begin_attempt(self, admitted: AdmittedRequest, progress: StreamProgress) -> bool:
        """Checks the limits for another attempt, and spends a retry if it is not the first."""
        now = asyncio.get_running_loop().time()
        if not progress.permits_attempt(admitted, now):
            return False
        retry_allowance = self._context.retry_allowance(admitted.service.name)
        if not progress.contacted:
            retry_allowance.on_request()
            return True
        if retry_allowance.try_spend(now):
            return True
        self._context.telemetry.record_denied_retry(admitted, progress.last_reason)
        return False

    async def _judge(
        self, admitted: AdmittedRequest, progress: StreamProgress
    ) -> ClearVerdict | IsolateVerdict | Failure:
        """Decides whether the stream may crash the next engine, too."""
        if progress.attempts:
            return await self._context.crashes.wait_for_verdict(admitted)
        return self._context.crashes.judge(admitted)

    async def _fail_unplaced(
        self,
        conn: CallerConnection,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        failed_outcome: Outcome | None,
    ) -> Failure | None:
        """Ends a request for which there is no engine, or none of the version that began it."""
        gone = self._continuation.refuse_gone(admitted, progress)
        result = await self._fail_request(conn, progress, failed_outcome)
        return gone if gone is not None and result is not None and result.ran is Ran.NO else result

    async def _fail_condemned(
        self,
        conn: CallerConnection,
        progress: StreamProgress,
        failed_outcome: Outcome | None,
        failure: Failure,
    ) -> Failure | None:
        """Ends a request that crashes engines; it has not run if no engine has seen it."""
        if not progress.attempts:
            return failure
        progress.last_reason = failure.reason
        result = await self._fail_request(conn, progress, failed_outcome)
        return failure if result is not None and result.ran is Ran.NO else result

    def _may_retry(self, admitted: AdmittedRequest, progress: StreamProgress) -> bool:
        """Whether the request may be retried after the outcomes so far."""
        return admitted.route.resumable or not progress.may_have_executed

    async def _fail_request(
        self, conn: CallerConnection, progress: StreamProgress, failed_outcome: Outcome | None
    ) -> Failure | None:
        """Ends a request that no engine completed; returns the failure to report, if any."""
        if conn.response_started:
            # Without the terminating chunk, the caller detects that the stream is incomplete.
            conn.abort()
            return None
        if failed_outcome is not None and failed_outcome.head is not None:
            await _deliver_plain_response(conn, failed_outcome)
            return None
        if progress.may_have_executed:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, progress.last_reason, Ran.UNKNOWN)
        return Failure(ErrorKind.OVERLOADED, progress.last_reason, Ran.NO, RETRY_AFTER)


def refuse_overload(refusal: RefuseStream) -> Failure:
    """Builds the failure of a stream that no engine could serve before its deadline.

    Args:
        refusal: The refusal.

    Returns:
        The failure to report.
    """
    estimate = f"the first event is expected in {refusal.estimate:.1f} s"
    reason = f"{refusal.reason}: {estimate}, too late to be complete"
    return Failure(ErrorKind.OVERLOADED, reason, Ran.NO, refusal.retry_after)


async def _deliver_plain_response(conn: CallerConnection, outcome: Outcome) -> None:
    """Delivers a response that is not a stream, such as an engine's rejection of the request."""
    if not conn.response_started and outcome.head is not None:
        await conn.respond(outcome.head.status, outcome.head.headers, outcome.body)
