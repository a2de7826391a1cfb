"""Requests that are answered by one whole body."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.classify_reply import classify_reply
from sapphireledge.gateway.dispatch import Dispatch
from sapphireledge.gateway.exchange import exchange
from sapphireledge.gateway.outcome import Outcome, OutcomeKind
from sapphireledge.gateway.replay_rule import ReplayRule

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_connection import BackendConnection
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_connection import CallerConnection
    from sapphireledge.gateway.gateway_parts import GatewayParts

__all__ = ["PlainForwarder"]

HEDGE_SHARE = 0.5
"""Share of the target after which a silent idempotent request is sent to a second server, too.

The rest of the target is enough for a whole second execution.
"""

RETRY_AFTER = 0.3
"""Seconds after which a refused caller may come back; refusals come from servers that are full or
just failed."""

MIN_USEFUL = 0.02
"""Time in seconds below which a request is not sent; no server finishes in it."""


class PlainForwarder:
    """Sends a request until one answer is whole, within what may be repeated."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self._background: set[asyncio.Task[Outcome]] = set()

    async def forward(self, conn: CallerConnection, work: AdmittedRequest) -> Failure | None:
        """Serves one request.

        Args:
            conn: Connection of the caller.
            work: The request.

        Returns:
            None if an answer of a backend server was delivered, otherwise the refusal to send.
        """
        sends: set[asyncio.Task[Outcome]] = set()
        try:
            outcome = await self._send_until_answered(work, sends)
        except asyncio.CancelledError:
            for task in sends:
                task.cancel()
            raise
        if isinstance(outcome, Failure):
            return outcome
        assert outcome.head is not None
        await conn.respond(outcome.head.status, outcome.head.headers, outcome.body)
        return None

    async def _send_until_answered(
        self, work: AdmittedRequest, sends: set[asyncio.Task[Outcome]]
    ) -> Outcome | Failure:
        """Starts sends until one answers, nothing is left to try, or the time is over."""
        loop = asyncio.get_running_loop()
        idempotent = work.route.replay is ReplayRule.IDEMPOTENT
        tried: set[str] = set()
        results: list[Outcome] = []
        while True:
            task = self._start(work, tried)
            if task is not None:
                sends.add(task)
            elif not sends:
                return _refusal(results)
            left = work.deadline - loop.time()
            wait = min(left, work.route.target * HEDGE_SHARE) if idempotent and task else left
            done, _ = await asyncio.wait(
                sends, timeout=max(0.0, wait), return_when=asyncio.FIRST_COMPLETED
            )
            sends -= done
            results += [task.result() for task in done]
            answered = [result for result in results if result.kind is OutcomeKind.ANSWERED]
            if answered:
                self._finish_in_background(sends)
                return answered[0]
            if loop.time() >= work.deadline or (results and not _may_repeat(work, results)):
                self._finish_in_background(sends)
                if not results or (sends and results[-1].kind is not OutcomeKind.FAILED):
                    reason = "no backend server answered in time"
                    return Failure(ErrorKind.DEADLINE_EXCEEDED, reason, Ran.UNKNOWN)
                return _refusal(results)

    def _start(self, work: AdmittedRequest, tried: set[str]) -> asyncio.Task[Outcome] | None:
        """Starts one send, or returns None if no server or no retry is left."""
        parts = self._parts
        now = asyncio.get_running_loop().time()
        service = work.service.name
        if len(tried) >= work.route.max_attempts or work.deadline - now < MIN_USEFUL:
            return None
        server = parts.registry.choose(now, service, work.request.affinity, tried)
        if server is None:
            return None
        if tried and not parts.allowance(service).try_spend(now):
            parts.journal.retry_denied(work, "an earlier send failed or is silent")
            return None
        if not tried:
            parts.allowance(service).on_request()
        tried.add(server.server_id)
        run = partial(self._send, work, server)
        return asyncio.create_task(exchange(parts, work, server, len(tried), run))

    async def _send(
        self, work: AdmittedRequest, server: BackendServer, conn: BackendConnection
    ) -> Outcome:
        """Sends the request and reads the whole answer."""
        request = work.request
        left = work.caller_deadline - asyncio.get_running_loop().time()
        headers = self._parts.dialect.encode_dispatch(
            Dispatch(request, server, left, work.workspace)
        )
        conn.send(request.method, request.target, headers, request.body)
        head = await conn.read_head(self._parts.dialect, request.request_id)
        return classify_reply(server, head, await conn.read_whole_body())

    def _finish_in_background(self, sends: set[asyncio.Task[Outcome]]) -> None:
        """Lets sends end by themselves: a server that works on a request is not interrupted."""
        for task in sends:
            self._background.add(task)
            task.add_done_callback(self._background.discard)


def _may_repeat(work: AdmittedRequest, results: list[Outcome]) -> bool:
    """Whether the request may be sent again after these outcomes."""
    return work.route.repeatable or all(
        result.kind is OutcomeKind.NOT_EXECUTED for result in results
    )


def _refusal(results: list[Outcome]) -> Outcome | Failure:
    """Builds the final answer when no server answered with success."""
    for result in results:
        if result.kind is OutcomeKind.FAILED:
            return result
    unknown = [result for result in results if result.kind is not OutcomeKind.NOT_EXECUTED]
    if unknown:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, unknown[0].reason, Ran.UNKNOWN)
    reason = results[-1].reason if results else "no backend server takes work"
    return Failure(ErrorKind.OVERLOADED, reason, Ran.NO, RETRY_AFTER)
