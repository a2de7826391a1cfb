"""One run of a stream at one engine."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any, TypeVar

from sapphireledge.gateway.broken_reply import BrokenReply
from sapphireledge.gateway.classify_reply import classify_reply
from sapphireledge.gateway.dispatch import Dispatch
from sapphireledge.gateway.event_splitter import EventSplitter
from sapphireledge.gateway.exchange import exchange
from sapphireledge.gateway.outcome import Outcome, OutcomeKind

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_connection import BackendConnection
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_connection import CallerConnection
    from sapphireledge.gateway.engine_plan import EnginePlan
    from sapphireledge.gateway.gateway_parts import GatewayParts
    from sapphireledge.gateway.reply_head import ReplyHead
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["StreamAttempt"]

Result = TypeVar("Result")

LATE_EVENTS = 10
"""Events that an engine may have made before the first one arrives. They take about 0.3 s, ten
times the way between regions; more of them show that the connection has gone silent."""


class StreamAttempt:
    """Sends a stream request to one engine and delivers its events."""

    def __init__(
        self,
        parts: GatewayParts,
        conn: CallerConnection,
        work: AdmittedRequest,
        progress: StreamProgress,
    ) -> None:
        self._parts = parts
        self._caller = conn
        self._work = work
        self._progress = progress

    async def run(self, plan: EnginePlan) -> Outcome:
        """Runs the stream until it is complete or the engine is lost.

        Args:
            plan: Engines of the attempt.

        Returns:
            The outcome; ANSWERED only if the caller has the whole stream.
        """
        run = partial(self._run_on, plan)
        return await exchange(self._parts, self._work, plan.server, self._progress.attempts, run)

    async def _run_on(self, plan: EnginePlan, engine: BackendConnection) -> Outcome:
        """Runs the stream on a connection."""
        self._send(engine, plan)
        return await self._relay(engine, plan.server)

    def _send(self, engine: BackendConnection, plan: EnginePlan) -> None:
        """Sends the request."""
        work = self._work
        now = asyncio.get_running_loop().time()
        dispatch = Dispatch(
            work.request,
            plan.server,
            work.caller_deadline - now,
            work.workspace,
            work.rank,
            self._progress.last_event,
            plan.standby,
            plan.source,
        )
        headers = self._parts.dialect.encode_dispatch(dispatch)
        self._progress.on_sent(plan.server)
        engine.send(work.request.method, work.request.target, headers, work.request.body)

    async def _relay(self, engine: BackendConnection, server: BackendServer) -> Outcome:
        """Reads the answer and delivers each whole event."""
        cfg = self._parts.cfg
        head = await self._while_alive(
            server, engine.read_head(self._parts.dialect, self._work.request.request_id)
        )
        if head.status != 200 or head.not_executed or not head.signed or head.encoded:
            body = await _within(cfg.pause_limit, engine.read_whole_body())
            return classify_reply(server, head, body)
        splitter = EventSplitter()
        events = 0
        while True:
            if events:
                part = await _within(cfg.pause_limit, engine.read_body())
            else:
                part = await self._while_alive(server, engine.read_body())
            if part is None:
                break
            for event in splitter.feed(part):
                events += 1
                await self._deliver(head, event.raw, event.number)
        if splitter.has_partial_event:
            raise BrokenReply("the stream ended inside an event")
        if not self._caller.answer_begun:
            raise BrokenReply("the stream has no event")
        await self._caller.finish()
        return Outcome(OutcomeKind.ANSWERED, server, "complete", head)

    async def _while_alive(
        self, server: BackendServer, read: Coroutine[Any, Any, Result]
    ) -> Result:
        """Awaits a read for as long as the engine answers questions for its report.

        An engine sends nothing while it reads a prompt, so silence alone does not show its loss.
        """
        cfg = self._parts.cfg
        request_id = self._work.request.request_id
        task = asyncio.create_task(read)
        try:
            while not (await asyncio.wait({task}, timeout=cfg.probe_period))[0]:
                load = await self._parts.scout.ask(server, cfg.probe_limit)
                if load is None:
                    raise BrokenReply("silent, and no report either")
                if not task.done() and load.events.get(request_id, 0) > LATE_EVENTS:
                    raise BrokenReply("events are made that do not arrive")
            return task.result()
        finally:
            task.cancel()

    async def _deliver(self, head: ReplyHead, raw: bytes, number: int | None) -> None:
        """Passes on one event that continues the answer without a gap."""
        progress = self._progress
        if progress.delivered:
            last = progress.last_event
            if number is not None and last is not None and number != last + 1:
                raise BrokenReply(f"event {number} does not follow event {last}")
        else:
            await self._caller.begin(head.status, head.headers)
        progress.on_event(number)
        await self._caller.send_part(raw)


async def _within(limit: float, read: Coroutine[Any, Any, Result]) -> Result:
    """Awaits a read; silence beyond the limit counts as the loss of the engine."""
    try:
        async with asyncio.timeout(limit):
            return await read
    except TimeoutError as exc:
        raise BrokenReply(f"silent for {limit:.2f} s") from exc
