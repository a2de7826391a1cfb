"""Execution of the generation machine's decisions for one answer."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, Any

import structlog

from sapphireledge.backends import (
    AttemptFinished,
    AttemptStarted,
    CallFailure,
    CallFailureCause,
    GenerationCall,
    StreamToken,
)
from sapphireledge.core.answer import (
    AnswerEnd,
    AttemptFailureCause,
    CancelAttempt,
    Complete,
    Deliver,
    Dispatch,
    Ignore,
    Probe,
    Refuse,
)
from sapphireledge.entry.answer_header import AnswerHeader
from sapphireledge.entry.pool_work import PoolWork
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.telemetry import LogEvent, MetricName

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from opentelemetry.context import Context

    from sapphireledge.core.answer import Decision
    from sapphireledge.core.replay import RecordingMachine
    from sapphireledge.entry.answer_context import AnswerContext
    from sapphireledge.entry.caller_request import CallerRequest
    from sapphireledge.entry.grant import Grant
    from sapphireledge.entry.running_answer import RunningAnswer
    from sapphireledge.peers import ReplicatedAnswer

__all__ = ["AnswerRunner"]

FAILURE_CAUSES: dict[CallFailureCause, AttemptFailureCause] = {
    CallFailureCause.NOT_CONNECTED: AttemptFailureCause.REFUSED,
    CallFailureCause.NO_CONNECTION_FREE: AttemptFailureCause.REFUSED,
    CallFailureCause.LEAVING: AttemptFailureCause.LEAVING,
    CallFailureCause.BUSY: AttemptFailureCause.REJECTED,
    CallFailureCause.UNKNOWN_MODEL: AttemptFailureCause.REJECTED,
    CallFailureCause.INVALID: AttemptFailureCause.REJECTED,
    CallFailureCause.SERVER_ERROR: AttemptFailureCause.CLOSED,
    CallFailureCause.NO_ANSWER: AttemptFailureCause.TIMEOUT,
    CallFailureCause.CONNECTION_LOST: AttemptFailureCause.CLOSED,
    CallFailureCause.TRUNCATED: AttemptFailureCause.CLOSED,
    CallFailureCause.MALFORMED: AttemptFailureCause.PROTOCOL,
}
"""Maps the engine client's failure causes to those of the generation machine."""


MAX_TIMER_DELAY = 0.1
"""Maximum timer delay in seconds, which limits how late an engine's silence is detected."""


class AnswerRunner:
    """Executes the decisions of the generation machine of one answer.

    Every input is passed to the machine in the event loop's thread, and its decisions are executed
    before the next input. Attempts, probes and cancellations run as separate tasks.
    """

    def __init__(
        self,
        req: CallerRequest,
        answer: RunningAnswer,
        machine: RecordingMachine,
        ctx: AnswerContext,
        trace: Context | None,
        prior_attempts: int = 0,
    ) -> None:
        """Creates the runner; `start` starts the generation.

        Args:
            req: The caller's request.
            answer: Receives the tokens.
            machine: Generation machine of the answer.
            ctx: Components of the instance that a generation uses.
            trace: Trace context of the request.
            prior_attempts: Number of attempts made earlier in this epoch with another machine.
                Attempt ids sent to engines must be unique, so numbering continues from here.
        """
        self._req = req
        self._answer = answer
        self._machine = machine
        self._ctx = ctx
        self._trace = trace
        self._prior_attempts = prior_attempts
        self._copy: ReplicatedAnswer | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._streams: dict[int, asyncio.Task[None]] = {}
        self._grants: dict[int, Grant] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._arrived_at = time.monotonic()
        self._gap_started_at: float | None = None
        self._last_token_at = 0.0
        self._log = structlog.get_logger().bind(
            request_id=req.request_id, trace_id=ctx.tracing.trace_id(trace)
        )
        self._is_unprotected = False

    @property
    def answer(self) -> RunningAnswer:
        """The answer that the runner generates."""
        return self._answer

    @property
    def has_moved(self) -> bool:
        """Whether another instance owns the answer now."""
        end = self._answer.end
        return (
            end is not None
            and end.failure is not None
            and end.failure.kind is ErrorKind.ANSWER_MOVED
        )

    @property
    def machine(self) -> RecordingMachine:
        """The generation machine."""
        return self._machine

    @property
    def attempts(self) -> int:
        """Number of attempts made in this epoch, including those before this runner."""
        return self._prior_attempts + self._machine.attempt

    @property
    def request(self) -> CallerRequest:
        """The caller's request."""
        return self._req

    def start(self) -> None:
        """Starts the generation."""
        self._apply(self._machine.start(time.monotonic()))

    def suspend(self) -> None:
        """Stops the generation because it has no reader; the tokens are kept."""
        self._apply(self._machine.on_caller_gone(time.monotonic()))
        self._answer.ended_at = time.monotonic()
        self._end_tasks()
        if self._copy is not None:
            self._copy.append(time.monotonic(), [], self._machine.take_lines())
            self._copy.close()

    def supersede(self, owner: str) -> None:
        """Stops the generation because another instance owns the answer.

        Args:
            owner: Name of the new owner.
        """
        self._apply(self._machine.on_superseded(time.monotonic(), owner))
        self._end_tasks()

    def mark_moved(self, reason: str) -> None:
        """Ends the answer at this instance because another one owns it.

        Args:
            reason: Failure reason for the readers.
        """
        if self._answer.end is None:
            self.supersede("")
        # The answer may have ended before this instance learned of the new owner.
        failure = Failure(ErrorKind.ANSWER_MOVED, reason, Ran.YES)
        self._answer.supersede(AnswerEnd("", failure))

    def _apply(self, decisions: list[Decision]) -> None:
        """Executes decisions in order."""
        for decision in decisions:
            kind = type(decision)
            if kind is Deliver:
                self._deliver(decision.offset, decision.text)
            elif kind is Dispatch:
                self._spawn(self._dispatch(decision))
            elif kind is Probe:
                self._spawn(self._probe(decision))
            elif kind is CancelAttempt:
                self._cancel(decision)
            elif kind is Complete:
                self._finish(AnswerEnd(decision.reason))
            elif kind is Refuse:
                self._finish(AnswerEnd("", decision.failure))
            elif kind is not Ignore:
                raise TypeError(f"unknown decision {kind.__name__}")
        if self._timer is None and self._machine.deadline is not None:
            self._set_timer()

    def _deliver(self, offset: int, text: str) -> None:
        """Appends a token to the answer and to its copy."""
        now = time.monotonic()
        if offset == 0:
            self._ctx.metrics.time(MetricName.FIRST_TOKEN, now - self._arrived_at, self._req.rank)
        if self._gap_started_at is not None:
            self._ctx.metrics.time(
                MetricName.RESUME_LATENCY, now - self._gap_started_at, self._req.rank
            )
            self._gap_started_at = None
        self._last_token_at = now
        assert self._copy is not None
        if not self._answer.pieces:
            self._answer.software = self._copy.software = self._machine.software
        self._ctx.totals.add_tokens(self._req.rank, 1)
        self._answer.append(text)
        self._copy.append(now, [text])

    def _finish(self, end: AnswerEnd) -> None:
        """Ends the answer and records how it ended."""
        if self._answer.end is not None:
            return
        self._answer.finish(end)
        self._answer.ended_at = time.monotonic()
        result = end.failure.kind if end.failure is not None else "completed"
        self._ctx.metrics.count(MetricName.REQUESTS, 1, f"{self._req.rank}.{result}")
        if end.failure is None:
            self._ctx.pool.on_completed(self._req, len(self._answer.pieces))
            self._log.info(LogEvent.REQUEST_COMPLETED, tokens=len(self._answer.pieces))
        else:
            self._ctx.totals.add_refusal(self._req.rank)
            self._log.info(
                LogEvent.REQUEST_REFUSED,
                kind=end.failure.kind,
                reason=end.failure.reason,
                ran=end.failure.ran,
                delivered=len(self._answer.pieces),
            )
        if self._copy is not None:
            events = self._machine.take_lines()
            self._copy.finish(time.monotonic(), end.to_finish(), events)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def _dispatch(self, decision: Dispatch) -> None:
        """Waits for admission to a backend server and runs the attempt there."""
        span = self._ctx.tracing.start(
            "queue", self._trace, attempt=decision.attempt, offset=decision.offset
        )
        grant = await self._ctx.pool.acquire(self._create_work(decision))
        span.end()
        now = time.monotonic()
        if isinstance(grant, Failure):
            self._machine.note(now, "route_refused", {"attempt": decision.attempt})
            if grant.kind is ErrorKind.REQUEST_CONDEMNED:
                self._log.warning(LogEvent.REQUEST_CONDEMNED, reason=grant.reason)
            self._apply(self._machine.on_no_backend(now, grant))
            return
        try:
            self._machine.note(now, "routed", grant.describe())
            self._apply(
                self._machine.on_dispatched(now, decision.attempt, grant.backend, grant.version)
            )
            if self._machine.attempt != decision.attempt or self._machine.ended:
                return
            self._open_copy(grant.version)
            self._grants[decision.attempt] = grant
            if decision.attempt == 1:
                self._log.info(
                    LogEvent.REQUEST_ACCEPTED, rank=self._req.rank, backend=grant.backend
                )
            else:
                self._log.info(
                    LogEvent.ATTEMPT_RESUMED,
                    attempt=decision.attempt,
                    offset=decision.offset,
                    backend=grant.backend,
                )
                self._ctx.metrics.count(MetricName.RESUME_TOKENS, decision.offset, self._req.rank)
            await self._stream(decision, grant)
        finally:
            self._grants.pop(decision.attempt, None)
            grant.release(time.monotonic())

    def _open_copy(self, version: str) -> None:
        """Sets the model version of the answer and starts copying it to the partner."""
        if self._copy is not None:
            return
        self._answer.version = version
        header = AnswerHeader.from_request(self._req, version).encode()
        copy = self._ctx.copies.open(self._answer.answer_id, self._answer.epoch, header)
        copy.software = self._answer.software
        copy.on_progress = self._on_copy_progress
        copy.append(time.monotonic(), list(self._answer.pieces), self._machine.take_lines())
        self._copy = copy

    def _on_copy_progress(self) -> None:
        """Makes stored tokens readable, or stops if another instance owns the answer."""
        copy = self._copy
        if copy is None:
            return
        if copy.newer_epoch:
            self._ctx.spawn(self._stop_superseded())
            return
        if copy.released > max(copy.stored, self._answer.readable):
            unprotected = copy.released - max(copy.stored, self._answer.readable)
            self._ctx.metrics.count(MetricName.UNPROTECTED_TOKENS, unprotected)
            if not self._is_unprotected:
                self._is_unprotected = True
                self._log.warning(LogEvent.ANSWER_UNPROTECTED, offset=self._answer.readable)
        self._answer.release(max(copy.stored, copy.released))

    async def _stop_superseded(self) -> None:
        """Ends the superseded generation, outside the callback that detected it."""
        if not self._answer.is_drained:
            self.mark_moved("another instance continues the answer")

    def _create_work(self, decision: Dispatch) -> PoolWork:
        """Builds the description of the attempt for the queue and the router."""
        return PoolWork(
            req=self._req,
            attempt=decision.attempt,
            epoch=self._answer.epoch,
            offset=decision.offset,
            version=decision.version,
            prefer=decision.prefer,
            avoid=decision.avoid,
            arrived_at=self._arrived_at,
            software=decision.software,
        )

    async def _stream(self, decision: Dispatch, grant: Grant) -> None:
        """Runs one attempt to its end."""
        span = self._ctx.tracing.start(
            "engine" if decision.attempt == 1 else "resume",
            self._trace,
            attempt=decision.attempt,
            backend=grant.backend,
            offset=decision.offset,
        )
        call = GenerationCall(
            request_id=self._answer.answer_id,
            attempt=self._prior_attempts + decision.attempt,
            epoch=self._answer.epoch,
            path="/v1/chat/completions" if self._req.chat else "/v1/completions",
            body=self._req.body,
            model_version=grant.version,
            priority=grant.priority,
            offset=decision.offset,
            text=self._machine.text,
            traceparent=self._ctx.tracing.headers(span).get("traceparent", ""),
        )
        self._streams[decision.attempt] = asyncio.current_task()
        try:
            async with contextlib.aclosing(grant.client.stream(call)) as events:
                async for event in events:
                    if type(event) is StreamToken:
                        self._on_token(event, grant)
                    elif not self._on_event(event, decision.attempt, grant):
                        break
                    if self._machine.attempt != decision.attempt:
                        break
        finally:
            self._streams.pop(decision.attempt, None)
            span.end()

    def _on_token(self, event: StreamToken, grant: Grant) -> None:
        """Handles one token."""
        now = time.monotonic()
        grant.charge_tokens(now, 1)
        self._ctx.pool.on_token(grant)
        attempt = event.attempt - self._prior_attempts
        decisions = self._machine.on_token(now, attempt, event.offset, event.text)
        if len(decisions) == 1 and type(decisions[0]) is Deliver:
            self._deliver(decisions[0].offset, decisions[0].text)
            return
        self._record_loss(decisions, grant, "protocol")
        self._apply(decisions)

    def _on_event(self, event: Any, attempt: int, grant: Grant) -> bool:
        """Handles any other event; returns whether the stream continues."""
        now = time.monotonic()
        if isinstance(event, AttemptStarted):
            grant.on_started(now)
            self._ctx.pool.on_started(grant, event)
            if event.software or self._machine.software:
                decisions = self._machine.on_accepted(now, attempt, event.software)
                self._record_loss(decisions, grant, "software version")
                self._apply(decisions)
            return True
        if isinstance(event, AttemptFinished):
            self._apply(self._machine.on_finished(now, attempt, event.total, event.reason))
            return False
        if isinstance(event, CallFailure):
            self._ctx.pool.on_call_failure(grant, event)
            if event.cause is CallFailureCause.INVALID:
                self._apply(self._refuse_invalid(now, event))
                return False
            decisions = self._machine.on_broken(now, attempt, FAILURE_CAUSES[event.cause])
            self._record_loss(decisions, grant, event.cause)
            self._apply(decisions)
        return False

    def _refuse_invalid(self, now: float, event: CallFailure) -> list[Decision]:
        """Ends the answer: the request is invalid, so any other engine would reject it too."""
        self._machine.on_broken(now, self._machine.attempt, AttemptFailureCause.REJECTED)
        failure = Failure(ErrorKind.INVALID_REQUEST, event.detail, Ran.NO)
        return self._machine.on_no_backend(now, failure)

    def _record_loss(self, decisions: list[Decision], grant: Grant, cause: str) -> None:
        """Logs an attempt that is lost and replaced, and measures the gap from its last token."""
        if any(type(decision) is Dispatch for decision in decisions):
            if self._gap_started_at is None and self._answer.pieces:
                self._gap_started_at = self._last_token_at
            self._log.info(LogEvent.ATTEMPT_LOST, backend=grant.backend, cause=cause)

    async def _probe(self, probe: Probe) -> None:
        """Probes the engine on a new connection."""
        grant = self._grants.get(probe.attempt)
        if grant is None:
            return
        span = self._ctx.tracing.start("probe", self._trace, backend=probe.backend)
        attempt_id = self._attempt_id(probe.attempt)
        result = await grant.client.probe(attempt_id, self._ctx.cfg.resume.probe_timeout)
        span.end()
        # An engine that is ahead of the received tokens still runs the attempt, but its connection
        # no longer delivers, so waiting is useless.
        waiting = result.attempt_active and result.next_offset <= self._machine.offset
        decisions = self._machine.on_probe(time.monotonic(), probe.attempt, result.alive, waiting)
        self._record_loss(decisions, grant, "silence")
        if not result.alive:
            self._ctx.pool.on_probe_failed(grant)
        self._apply(decisions)

    def _attempt_id(self, attempt: int) -> str:
        """Builds the id of an attempt at its engine."""
        number = self._prior_attempts + attempt
        return f"{self._answer.answer_id}.{self._answer.epoch}.{number}"

    def _cancel(self, decision: CancelAttempt) -> None:
        """Stops an attempt here and cancels it at its engine."""
        grant = self._grants.get(decision.attempt)
        stream = self._streams.get(decision.attempt)
        if stream is not None and stream is not asyncio.current_task():
            stream.cancel()
        if grant is not None:
            attempt_id = self._attempt_id(decision.attempt)
            self._ctx.spawn(grant.client.cancel(attempt_id))

    def _set_timer(self) -> None:
        """Sets the timer for the machine's deadline."""
        deadline = self._machine.deadline
        if deadline is None:
            self._timer = None
            return
        delay = min(max(0.0, deadline - time.monotonic()), MAX_TIMER_DELAY)
        self._timer = asyncio.get_running_loop().call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        """Passes the current time to the machine.

        The deadline changes with every token, and can become earlier when the first token ends the
        long wait for it. Resetting the timer only when it fires avoids the cost for each token.
        """
        self._timer = None
        if self._answer.end is None:
            self._apply(self._machine.on_tick(time.monotonic()))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a task that belongs to this answer."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Ends the answer if a task failed with an unexpected exception."""
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._log.error(LogEvent.INTERNAL_ERROR, exc_info=task.exception())
        if self._answer.end is None:
            ran = Ran.YES if self._answer.pieces else Ran.UNKNOWN
            failure = Failure(ErrorKind.INTERNAL, "unexpected error in the instance", ran)
            self._finish(AnswerEnd("", failure))

    def _end_tasks(self) -> None:
        """Cancels the timer and all tasks of this answer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for task in tuple(self._tasks):
            task.cancel()
