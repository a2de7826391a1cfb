"""One attempt to run a stream on an engine."""

from __future__ import annotations

import asyncio
import contextlib
from functools import partial
from typing import TYPE_CHECKING, Any, TypeVar

from sapphireledge.core.liveness import RunSighting, StreamWatch
from sapphireledge.gateway.backend_request import BackendRequest
from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.classify_response import classify_response
from sapphireledge.gateway.event_splitter import EventSplitter
from sapphireledge.gateway.outcome import Outcome, OutcomeKind
from sapphireledge.gateway.run_attempt import run_attempt
from sapphireledge.gateway.stream_copier import StreamCopier

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.attempt_progress import AttemptProgress
    from sapphireledge.gateway.backend_connection import BackendConnection
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_connection import CallerConnection
    from sapphireledge.gateway.engine_selection import EngineSelection
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.response_head import ResponseHead
    from sapphireledge.gateway.stream_event import StreamEvent
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["StreamAttempt"]

Result = TypeVar("Result")


LATE_RANK_OFFSET = 5
"""Added to the rank of a stream that is expected to be late; engines start streams of a lower rank
number first, so those that can be on time do not wait for it."""


PACE_INTERVAL = 0.5
"""Seconds between two observations of a stream's pace, so that an event costs next to nothing."""


class StreamAttempt:
    """Sends a stream request to one engine and delivers its events."""

    def __init__(
        self,
        context: GatewayContext,
        conn: CallerConnection,
        admitted: AdmittedRequest,
        progress: StreamProgress,
        on_begun: Callable[[AdmittedRequest, str], None],
    ) -> None:
        """Creates an attempt.

        Args:
            context: Shared components.
            conn: Connection of the caller.
            admitted: The request.
            progress: Progress of the stream.
            on_begun: Called with the version of the server whose event is the first one.
        """
        self._context = context
        self._caller = conn
        self._admitted = admitted
        self._progress = progress
        self._on_begun = on_begun
        self._pace_events = 0
        self._pace_since: float | None = None

    async def run(self, selection: EngineSelection, *, isolated: bool = False) -> Outcome:
        """Runs the stream until it is complete or the engine is lost.

        Args:
            selection: Engines of the attempt.
            isolated: Whether it runs isolated from other requests that may crash engines.

        Returns:
            The outcome; ANSWERED means that the stream was relayed to its end, or that the engine
            sent another response that is still to be delivered.
        """
        run = partial(self._run_on, selection)
        return await run_attempt(
            self._context,
            self._admitted,
            selection.server,
            self._progress.attempts,
            run,
            isolated=isolated,
            can_move=self._can_change_version,
            origin=self._progress.version,
        )

    async def _run_on(
        self, selection: EngineSelection, conn: BackendConnection, attempt: AttemptProgress
    ) -> Outcome:
        """Sends the request on a connection and relays the response."""
        self._send(conn, selection)
        attempt.on_sent()
        return await self._relay(conn, selection, attempt)

    def _send(self, conn: BackendConnection, selection: EngineSelection) -> None:
        """Sends the request to the selected engine."""
        admitted = self._admitted
        now = asyncio.get_running_loop().time()
        backend_request = BackendRequest(
            admitted.request,
            selection.server,
            admitted.caller_deadline - now,
            admitted.workspace,
            admitted.rank + (LATE_RANK_OFFSET if selection.is_late else 0),
            self._progress.last_event,
            selection.standby,
            selection.replica_source,
        )
        headers = self._context.dialect.encode_backend_request(backend_request)
        self._progress.on_sent(selection.server)
        conn.send(admitted.request.method, admitted.request.target, headers, admitted.request.body)

    async def _relay(
        self, conn: BackendConnection, selection: EngineSelection, attempt: AttemptProgress
    ) -> Outcome:
        """Reads the response and delivers each complete event."""
        cfg = self._context.cfg
        server = selection.server
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        last_event = self._progress.last_event
        watch = StreamWatch(cfg.silence, loop.time(), 0 if last_event is None else last_event + 1)
        request_id = self._admitted.request.request_id
        head = await self._read_while_alive(
            server, watch, partial(conn.read_head, self._context.dialect, request_id)
        )
        attempt.on_head()
        if not _is_stream(head):
            body = await _await_within(cfg.body_timeout, conn.read_body())
            return self._classify_plain(server, head, body)
        with StreamCopier(self._context, self._admitted, self._progress, selection) as copier:
            async with contextlib.aclosing(self._read_events(conn, server, watch)) as events:
                async for event in events:
                    if event.number is not None:
                        if not watch.has_events:
                            self._observe_first_event(selection, loop.time() - sent_at)
                        watch.on_event(loop.time())
                        attempt.on_event()
                        self._observe_pace(loop.time())
                    await self._deliver(server, head, event)
                    copier.check(loop.time())
        if not self._caller.response_started:
            raise BackendResponseError("the stream has no events")
        await self._caller.finish_response()
        self._observe_generation(last_event)
        return Outcome(OutcomeKind.ANSWERED, server, "complete", head)

    async def _read_events(
        self, conn: BackendConnection, server: BackendServer, watch: StreamWatch
    ) -> AsyncIterator[StreamEvent]:
        """Reads the complete events of a stream until it ends."""
        loop = asyncio.get_running_loop()
        with EventSplitter() as splitter:
            while (
                chunk := await self._read_while_alive(server, watch, conn.read_chunk)
            ) is not None:
                for event in splitter.feed(chunk):
                    yield event
                    await conn.checkpoint()
                # Bytes may arrive all the time without completing an event.
                if not watch.check_delay(loop.time()):
                    await self._verify_run(server, watch)
            if splitter.has_partial_event:
                raise BackendResponseError("the stream ended within an event")
        if conn.ends_with_connection:
            await self._verify_end(server, watch)

    def _observe_first_event(self, selection: EngineSelection, delay: float) -> None:
        """Passes the time to the first event on to the estimates for further streams."""
        self._context.on_first_event(selection.server)
        if selection.prompts_ahead is not None:
            estimator = self._context.first_event_estimator(self._admitted.service.name)
            estimator.observe(selection.prompts_ahead, delay, selection.own_work)
        memory = self._context.prompt_memory(self._admitted.service.name)
        now = asyncio.get_running_loop().time()
        memory.on_first_event(now, self._admitted.request, selection, delay)

    def _observe_pace(self, now: float) -> None:
        """Passes the pace of the events on to the estimate, from time to time."""
        if self._pace_since is None:
            self._pace_since = now
            return
        self._pace_events += 1
        duration = now - self._pace_since
        if duration >= PACE_INTERVAL:
            estimator = self._context.generation_estimator(self._admitted.service.name)
            estimator.observe_pace(now, self._pace_events, duration)
            self._pace_events, self._pace_since = 0, now

    def _observe_generation(self, resumed_after: int | None) -> None:
        """Passes the time of a stream that ran on one engine on to the estimate."""
        progress = self._progress
        if resumed_after is None and progress.first_event_at is not None:
            assert progress.last_event_at is not None
            estimator = self._context.generation_estimator(self._admitted.service.name)
            duration = progress.last_event_at - progress.first_event_at
            tokens = self._admitted.request.output_tokens
            estimator.observe(tokens, duration, progress.delivered)

    async def _read_while_alive(
        self,
        server: BackendServer,
        watch: StreamWatch,
        read: Callable[[], Coroutine[Any, Any, Result]],
    ) -> Result:
        """Reads for as long as the engine's reports show that it still works on the request."""
        loop = asyncio.get_running_loop()
        try:
            # Almost all reads end here; a task for each of them would double their cost.
            async with asyncio.timeout(watch.check_delay(loop.time())) as check:
                return await read()
        except TimeoutError:
            if not check.expired():
                raise
        task = asyncio.create_task(read())
        try:
            while not (await asyncio.wait({task}, timeout=watch.check_delay(loop.time())))[0]:
                try:
                    await self._verify_run(server, watch)
                except BackendResponseError:
                    if not task.done():
                        raise
            return task.result()
        finally:
            task.cancel()

    async def _verify_end(self, server: BackendServer, watch: StreamWatch) -> None:
        """Raises BackendResponseError unless the engine confirms that a stream has ended.

        The kernel ends the connections of a killed engine like the engine itself those of streams
        that have neither a length nor chunks. A stream that cannot move is worth repeated reports.
        """
        loop = asyncio.get_running_loop()
        limits = self._context.cfg.silence
        can_move = self._can_move(loop.time(), server)
        give_up_at = loop.time() + (0.0 if can_move else limits.confirm_time)
        sighting = await self._sight_run(server, limits.report_timeout)
        while sighting is None and loop.time() < give_up_at:
            await asyncio.sleep(limits.repeat_check)
            sighting = await self._sight_run(server, limits.report_timeout)
        cut = watch.find_cut(sighting)
        if cut:
            raise BackendResponseError(cut)

    async def _verify_run(self, server: BackendServer, watch: StreamWatch) -> None:
        """Fetches the engine's report; raises BackendResponseError if the run is lost."""
        sighting = await self._sight_run(server, watch.report_timeout)
        now = asyncio.get_running_loop().time()
        can_move = self._can_move(now, server)
        if sighting is not None and sighting.looks_preempted:
            # The next engine may reject the stream, which would go on by itself here.
            can_move &= self._progress.attempts_left(self._admitted) > 1
        loss = watch.find_loss(now, sighting, can_move=can_move)
        if loss:
            restarted = sighting is not None and sighting.restarted
            raise BackendResponseError(loss, silent=sighting is None, is_given_up=not restarted)

    def _can_move(self, now: float, server: BackendServer) -> bool:
        """Whether the stream can be resumed at another engine if its run is given up."""
        admitted, context = self._admitted, self._context
        service = admitted.service.name
        excluded = {*self._progress.failed_engines, server.server_id}
        excluded |= context.rollouts.excluded(
            admitted, excluded, is_retry=True, origin=self._progress.version
        )
        return (
            admitted.route.resumable
            and self._progress.permits_attempt(admitted, now)
            and context.retry_allowance(service).has_retry(now)
            and context.registry.next_admission(now, service, excluded) <= now
        )

    def _can_change_version(self, now: float, server: BackendServer) -> bool:
        """Whether the stream can begin anew at an engine of another version."""
        return self._progress.version is None and self._can_move(now, server)

    async def _sight_run(self, server: BackendServer, timeout: float) -> RunSighting | None:
        """Fetches what the engine reports about the run, None without a report in time."""
        report = await self._context.report_client.fetch_report(server, timeout)
        if report is None:
            return None
        restarted = bool(
            server.started_at_ms
            and report.started_at_ms
            and report.started_at_ms != server.started_at_ms
        )
        return RunSighting(
            report.events.get(self._admitted.request.request_id),
            restarted,
            report.has_unlisted_work,
        )

    def _classify_plain(self, server: BackendServer, head: ResponseHead, body: bytes) -> Outcome:
        """Classifies a response that is not a stream; it cannot follow a part of a stream."""
        outcome = classify_response(server, head, body)
        if outcome.kind is OutcomeKind.ANSWERED and self._caller.response_started:
            reason = f"a stream that had begun was answered with status {head.status} and no stream"
            return Outcome(OutcomeKind.FAILED, server, reason, head, body)
        return outcome

    async def _deliver(self, server: BackendServer, head: ResponseHead, event: StreamEvent) -> None:
        """Delivers one event, which must directly follow the last delivered one."""
        progress = self._progress
        number = event.number
        if progress.delivered:
            last = progress.last_event
            if last is not None and number is None and not event.is_comment:
                raise BackendResponseError(f"an event without a number follows event {last}")
            if number is not None and last is not None and number != last + 1:
                raise BackendResponseError(f"event {number} does not follow event {last}")
        else:
            self._begin_stream(server)
            await self._caller.start_response(head.status, head.headers)
        progress.on_event(asyncio.get_running_loop().time(), number)
        await self._caller.send_chunk(event.raw)

    def _begin_stream(self, server: BackendServer) -> None:
        """Ties the stream to the version that sends its first event."""
        if self._progress.version is None:
            self._progress.version = server.version
            self._on_begun(self._admitted, server.version)


def _is_stream(head: ResponseHead) -> bool:
    """Whether a response is a stream of an engine that runs the request."""
    return (
        head.status == 200
        and head.is_event_stream
        and head.signed
        and not head.not_executed
        and not head.encoded
    )


async def _await_within(timeout: float, read: Coroutine[Any, Any, Result]) -> Result:
    """Awaits a read; a timeout counts as the loss of the engine."""
    try:
        async with asyncio.timeout(timeout):
            return await read
    except TimeoutError as exc:
        raise BackendResponseError(f"no data for {timeout:.2f} s") from exc
