"""Forwarding of requests whose response is not a stream."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from sapphireledge.core.quarantine import ClearVerdict, IsolateVerdict
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.backend_request import BackendRequest
from sapphireledge.gateway.classify_response import classify_response
from sapphireledge.gateway.outcome import Outcome, OutcomeKind
from sapphireledge.gateway.replay_rule import ReplayRule
from sapphireledge.gateway.run_attempt import run_attempt

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.attempt_progress import AttemptProgress
    from sapphireledge.gateway.backend_connection import BackendConnection
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_connection import CallerConnection
    from sapphireledge.gateway.gateway_context import GatewayContext

__all__ = ["PlainForwarder"]

HEDGE_SHARE = 0.5
"""Share of the latency target after which an unanswered idempotent request is hedged, that is, also
sent to a second server.

The rest of the target is long enough for a complete second execution.
"""

RETRY_AFTER = 0.3
"""Retry-After in seconds for refused requests; they are refused because servers are full or have
just failed."""

MIN_ATTEMPT_TIME = 0.02
"""Seconds that must remain before the deadline to start an attempt; no server responds sooner."""


class PlainForwarder:
    """Forwards a request, retrying and hedging it as far as its route permits."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._background: set[asyncio.Task[Outcome]] = set()

    async def forward(self, conn: CallerConnection, admitted: AdmittedRequest) -> Failure | None:
        """Forwards one request and delivers the response.

        Args:
            conn: Connection of the caller.
            admitted: The request.

        Returns:
            None if a backend server's response was delivered, otherwise the failure to report.
        """
        attempts: set[asyncio.Task[Outcome]] = set()
        try:
            outcome = await self._attempt_until_answered(admitted, attempts)
        except asyncio.CancelledError:
            for task in attempts:
                task.cancel()
            raise
        if isinstance(outcome, Failure):
            return outcome
        assert outcome.head is not None
        await conn.respond(outcome.head.status, outcome.head.headers, outcome.body)
        return None

    async def _attempt_until_answered(
        self, admitted: AdmittedRequest, attempts: set[asyncio.Task[Outcome]]
    ) -> Outcome | Failure:
        """Starts attempts until one is answered, none is left to make, or the deadline passes."""
        loop = asyncio.get_running_loop()
        idempotent = admitted.route.replay is ReplayRule.IDEMPOTENT
        tried_servers: set[str] = set()
        outcomes: list[Outcome] = []
        while True:
            verdict = await self._judge(admitted, tried_servers)
            task = None
            if not isinstance(verdict, Failure):
                task = self._start_attempt(admitted, tried_servers, verdict)
            if task is not None:
                attempts.add(task)
            elif not attempts:
                if isinstance(verdict, Failure) and not outcomes:
                    return verdict
                return _unanswered_result(outcomes)
            time_left = admitted.deadline - loop.time()
            wait = (
                min(time_left, admitted.route.target * HEDGE_SHARE)
                if idempotent and task
                else time_left
            )
            done, _ = await asyncio.wait(
                attempts, timeout=max(0.0, wait), return_when=asyncio.FIRST_COMPLETED
            )
            attempts -= done
            outcomes += [task.result() for task in done]
            answered = [outcome for outcome in outcomes if outcome.kind is OutcomeKind.ANSWERED]
            if answered:
                self._finish_in_background(attempts)
                return answered[0]
            if loop.time() >= admitted.deadline or (
                outcomes and not _may_retry(admitted, outcomes)
            ):
                self._finish_in_background(attempts)
                if not outcomes or (attempts and outcomes[-1].kind is not OutcomeKind.FAILED):
                    reason = "no backend server responded in time"
                    return Failure(ErrorKind.DEADLINE_EXCEEDED, reason, Ran.UNKNOWN)
                return _unanswered_result(outcomes)

    async def _judge(
        self, admitted: AdmittedRequest, tried_servers: set[str]
    ) -> ClearVerdict | IsolateVerdict | Failure:
        """Decides whether the request may crash the next server, too."""
        crashes = self._context.crashes
        if tried_servers:
            return await crashes.wait_for_verdict(admitted)
        return crashes.judge(admitted)

    def _start_attempt(
        self,
        admitted: AdmittedRequest,
        tried_servers: set[str],
        verdict: ClearVerdict | IsolateVerdict,
    ) -> asyncio.Task[Outcome] | None:
        """Starts one attempt, or returns None if the limits permit none or no server is left."""
        context = self._context
        now = asyncio.get_running_loop().time()
        service = admitted.service.name
        if (
            len(tried_servers) >= admitted.route.max_attempts
            or admitted.deadline - now < MIN_ATTEMPT_TIME
        ):
            return None
        affinity = admitted.request.affinity
        avoided = context.crashes.avoided_servers(verdict)
        server = context.registry.choose(now, service, affinity, {*tried_servers, *avoided})
        isolated = server is not None and isinstance(verdict, IsolateVerdict)
        if server is None and avoided:
            server = context.registry.choose(now, service, affinity, tried_servers)
        if server is None:
            return None
        if tried_servers and not context.retry_allowance(service).try_spend(now):
            context.telemetry.record_denied_retry(
                admitted, "an earlier attempt failed or has not been answered"
            )
            return None
        if not tried_servers:
            context.retry_allowance(service).on_request()
        tried_servers.add(server.server_id)
        run = partial(self._send, admitted, server)
        return asyncio.create_task(
            run_attempt(context, admitted, server, len(tried_servers), run, isolated=isolated)
        )

    async def _send(
        self,
        admitted: AdmittedRequest,
        server: BackendServer,
        conn: BackendConnection,
        attempt: AttemptProgress,
    ) -> Outcome:
        """Sends the request and reads the complete response."""
        request = admitted.request
        time_left = admitted.caller_deadline - asyncio.get_running_loop().time()
        headers = self._context.dialect.encode_backend_request(
            BackendRequest(request, server, time_left, admitted.workspace)
        )
        conn.send(request.method, request.target, headers, request.body)
        attempt.on_sent()
        head = await conn.read_head(self._context.dialect, request.request_id)
        attempt.on_head()
        return classify_response(server, head, await conn.read_body())

    def _finish_in_background(self, attempts: set[asyncio.Task[Outcome]]) -> None:
        """Lets attempts run to their end, so that no server is interrupted during a request."""
        for task in attempts:
            self._background.add(task)
            task.add_done_callback(self._background.discard)


def _may_retry(admitted: AdmittedRequest, outcomes: list[Outcome]) -> bool:
    """Whether the request may be retried after these outcomes."""
    return admitted.route.repeatable or all(
        outcome.kind is OutcomeKind.NOT_EXECUTED for outcome in outcomes
    )


def _unanswered_result(outcomes: list[Outcome]) -> Outcome | Failure:
    """Chooses what to report to the caller after no attempt was answered."""
    for outcome in outcomes:
        if outcome.kind is OutcomeKind.FAILED:
            return outcome
    uncertain = [outcome for outcome in outcomes if outcome.kind is not OutcomeKind.NOT_EXECUTED]
    if uncertain:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, uncertain[0].reason, Ran.UNKNOWN)
    reason = outcomes[-1].reason if outcomes else "no backend server is available"
    return Failure(ErrorKind.OVERLOADED, reason, Ran.NO, RETRY_AFTER)
