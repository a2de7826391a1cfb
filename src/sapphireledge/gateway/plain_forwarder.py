"""Forwarding of requests whose response is not a stream."""

from __future__ import annotations

import asyncio
import math
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.quarantine import ClearVerdict, IsolateVerdict
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.backend_request import BackendRequest
from sapphireledge.gateway.classify_response import classify_response
from sapphireledge.gateway.outcome import Outcome, OutcomeKind
from sapphireledge.gateway.plain_choice import HEDGE_SHARE, PlainChoice
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

RETRY_AFTER = 0.3
"""Shortest Retry-After in seconds for refused requests; they are refused because servers are full,
have just failed, or have reached the rate that they take."""

SERVER_FULL = 503
"""HTTP status of a server that rejects a request because its queue is full."""


class PlainForwarder:
    """Forwards a request, retrying and hedging it as far as its route permits."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._choice = PlainChoice(context)
        self._rng = Random()
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
        refusal = self._shed(admitted)
        if refusal is not None:
            return refusal
        try:
            outcome = await self._attempt_until_answered(admitted, attempts)
        except BaseException:
            for task in attempts:
                task.cancel()
            raise
        if isinstance(outcome, Failure):
            return outcome
        assert outcome.head is not None
        await conn.respond(outcome.head.status, outcome.head.headers, outcome.body)
        return None

    def _shed(self, admitted: AdmittedRequest) -> Failure | None:
        """Refuses a request that its overloaded service would only answer late."""
        shedder = self._context.load_shedder(admitted.service.name)
        decision = shedder.decide(
            asyncio.get_running_loop().time(),
            admitted.rank,
            admitted.workspace,
            admitted.route.target,
        )
        self._context.telemetry.record_shedding(admitted, shedder)
        if decision is None:
            return None
        reason = (
            f"the service is overloaded: responses take {decision.response_time:.2f} of the target"
        )
        return Failure(ErrorKind.OVERLOADED, reason, Ran.NO, decision.retry_after)

    def _record_load(self, admitted: AdmittedRequest, outcome: Outcome, seconds: float) -> None:
        """Tells the load shedding what a response says about the load of the service."""
        now = asyncio.get_running_loop().time()
        shedder = self._context.load_shedder(admitted.service.name)
        if outcome.kind in (OutcomeKind.ANSWERED, OutcomeKind.FAILED):
            shedder.on_response(now, seconds, admitted.route.target)
        elif outcome.head is not None and outcome.head.status == SERVER_FULL:
            signals = outcome.head.signals
            # Servers that name a rate or a pause are held back on their own.
            if signals.rate_limit is None and signals.pause is None and not signals.is_leaving:
                shedder.on_rejection(now)

    async def _attempt_until_answered(
        self, admitted: AdmittedRequest, attempts: set[asyncio.Task[Outcome]]
    ) -> Outcome | Failure:
        """Starts attempts until one is answered, none is left to make, or the deadline passes."""
        loop = asyncio.get_running_loop()
        idempotent = admitted.route.replay is ReplayRule.IDEMPOTENT
        shedder = self._context.load_shedder(admitted.service.name)
        tried_servers: set[str] = set()
        outcomes: list[Outcome] = []
        while True:
            verdict = await self._judge(admitted, tried_servers)
            task = None
            if not isinstance(verdict, Failure):
                task = self._start_attempt(admitted, tried_servers, verdict)
                if task is None and not attempts:
                    task = await self._start_reserved_attempt(admitted, tried_servers, verdict)
            if task is not None:
                attempts.add(task)
            elif not attempts:
                if isinstance(verdict, Failure) and not outcomes:
                    return verdict
                return _unanswered_result(outcomes, self._compute_retry_after(admitted))
            time_left = admitted.deadline - loop.time()
            # Hedging an overloaded service would add to its load.
            hedged = idempotent and task is not None and not shedder.is_overloaded(loop.time())
            wait = min(time_left, admitted.route.target * HEDGE_SHARE) if hedged else time_left
            done, _ = await asyncio.wait(
                attempts, timeout=max(0.0, wait), return_when=asyncio.FIRST_COMPLETED
            )
            attempts -= done
            ended = [task.result() for task in done]
            outcomes += ended
            tried_servers -= {end.server.server_id for end in ended if end.is_withheld}
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
                return _unanswered_result(outcomes, self._compute_retry_after(admitted))

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
        """Starts one attempt, or returns None if the limits permit none or no server takes it."""
        if not self._choice.permits_attempt(admitted, tried_servers):
            return None
        server, isolated = self._choice.choose(admitted, tried_servers, verdict)
        if server is None or not self._spend_attempt(admitted, tried_servers):
            return None
        self._context.registry.try_take(asyncio.get_running_loop().time(), server.server_id)
        return self._run_attempt(admitted, tried_servers, server, isolated=isolated)

    async def _start_reserved_attempt(
        self,
        admitted: AdmittedRequest,
        tried_servers: set[str],
        verdict: ClearVerdict | IsolateVerdict,
    ) -> asyncio.Task[Outcome] | None:
        """Waits for a server that takes no request now, if the response can still be on time."""
        loop = asyncio.get_running_loop()
        registry = self._context.registry
        if not self._choice.permits_attempt(admitted, tried_servers):
            return None
        reserved = self._choice.reserve(admitted, tried_servers, verdict)
        if reserved is None:
            return None
        server, send_at = reserved
        await asyncio.sleep(send_at - loop.time())
        is_permitted = self._context.rollouts.permits(
            admitted, server, is_retry=bool(tried_servers)
        )
        if registry.is_closed(loop.time(), server.server_id) or not is_permitted:
            return None
        if not self._spend_attempt(admitted, tried_servers):
            return None
        isolated = isinstance(verdict, IsolateVerdict)
        return self._run_attempt(admitted, tried_servers, server, isolated=isolated)

    def _spend_attempt(self, admitted: AdmittedRequest, tried_servers: set[str]) -> bool:
        """Credits the retry allowance for a first attempt, or spends a retry if there is one."""
        allowance = self._context.retry_allowance(admitted.service.name)
        if not tried_servers:
            allowance.on_request()
            return True
        if allowance.try_spend(asyncio.get_running_loop().time()):
            return True
        self._context.telemetry.record_denied_retry(
            admitted, "an earlier attempt failed or has not been answered"
        )
        return False

    def _run_attempt(
        self,
        admitted: AdmittedRequest,
        tried_servers: set[str],
        server: BackendServer,
        *,
        isolated: bool,
    ) -> asyncio.Task[Outcome]:
        """Starts an attempt at a server."""
        tried_servers.add(server.server_id)
        run = partial(self._send, admitted, server)
        return asyncio.create_task(
            run_attempt(self._context, admitted, server, len(tried_servers), run, isolated=isolated)
        )

    def _compute_retry_after(self, admitted: AdmittedRequest) -> float:
        """Computes when a refused caller should return: once a server takes requests again."""
        now = asyncio.get_running_loop().time()
        delay = self._context.registry.next_admission(now, admitted.service.name) - now
        backlog = self._context.load_shedder(admitted.service.name).retry_after(
            now, admitted.route.target
        )
        if math.isinf(delay):
            return max(RETRY_AFTER, backlog)
        return max(RETRY_AFTER, backlog, delay * self._rng.uniform(0.5, 1.0))

    async def _send(
        self,
        admitted: AdmittedRequest,
        server: BackendServer,
        conn: BackendConnection,
        attempt: AttemptProgress,
    ) -> Outcome:
        """Sends the request and reads the complete response."""
        request = admitted.request
        started = asyncio.get_running_loop().time()
        time_left = admitted.caller_deadline - started
        headers = self._context.dialect.encode_backend_request(
            BackendRequest(request, server, time_left, admitted.workspace)
        )
        conn.send(request.method, request.target, headers, request.body)
        attempt.on_sent()
        head = await conn.read_head(self._context.dialect, request.request_id)
        attempt.on_head()
        outcome = classify_response(server, head, await conn.read_body())
        self._record_load(admitted, outcome, asyncio.get_running_loop().time() - started)
        return outcome

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


def _unanswered_result(outcomes: list[Outcome], retry_after: float) -> Outcome | Failure:
    """Chooses what to report to the caller after no attempt was answered."""
    for outcome in outcomes:
        if outcome.kind is OutcomeKind.FAILED:
            return outcome
    uncertain = [outcome for outcome in outcomes if outcome.kind is not OutcomeKind.NOT_EXECUTED]
    if uncertain:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, uncertain[0].reason, Ran.UNKNOWN)
    reason = outcomes[-1].reason if outcomes else "no backend server takes the request"
    return Failure(ErrorKind.OVERLOADED, reason, Ran.NO, retry_after)
