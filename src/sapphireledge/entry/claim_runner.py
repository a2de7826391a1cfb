"""At-most-once execution of calls to plain services."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING
from uuid import uuid4

import structlog

from sapphireledge.core.claims import (
    Answer,
    ClaimCall,
    ClaimMachine,
    DispatchOnce,
    KeyStatus,
    NoResponse,
    NotSent,
    ProveNotRun,
    ReadClaim,
    RecordOutcome,
    Wait,
    WriteClaim,
    parse_idempotency_key,
)
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.objects import WriteResult, WriteStatus
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.core.claims import (
        ClaimDecision,
        IdempotencyKey,
        ReceivedKeys,
        ServiceOutcome,
        ServiceReply,
    )
    from sapphireledge.entry.claim_request import ClaimRequest
    from sapphireledge.entry.key_voider import KeyVoider
    from sapphireledge.entry.outcome_recorder import OutcomeRecorder
    from sapphireledge.entry.service_sender import ServiceSender
    from sapphireledge.objects import ObjectStore, StoredObject
    from sapphireledge.settings import Settings

__all__ = ["ClaimRunner"]


class ClaimRunner:
    """Executes the decisions of one claim machine per call.

    Claims are stored through the object API, requests are sent to the services, and peers are asked
    to void keys.
    """

    def __init__(
        self,
        cfg: Settings,
        store: ObjectStore,
        service: ServiceSender,
        key_voider: KeyVoider,
        received: ReceivedKeys,
        recorder: OutcomeRecorder,
        clock: Callable[[], float] = time.monotonic,
        clock_unix: Callable[[], float] = time.time,
    ):
        self.cfg = cfg
        self.store = store
        self.service = service
        self.key_voider = key_voider
        self.received = received
        self.recorder = recorder
        self.clock = clock
        self.clock_unix = clock_unix
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, req: ClaimRequest) -> ServiceOutcome | Failure:
        """Runs a call at most once.

        Cancelling the caller does not cancel a dispatch: the run continues and its outcome is
        recorded.

        Args:
            req: The call.

        Returns:
            The service's response, from this run or recorded from an earlier one, or a failure
            whose `ran` states correctly whether the call ran.
        """
        key = parse_idempotency_key(req.idempotency_key, self.clock_unix(), self.cfg.claims)
        if isinstance(key, Failure):
            return key
        answer_future: asyncio.Future[ServiceOutcome | Failure] = asyncio.Future()
        run = _ClaimRun(self, req, key, answer_future)
        task = asyncio.create_task(run.drive())
        self._tasks.add(task)
        task.add_done_callback(lambda ended_task: self._on_run_ended(ended_task, answer_future))
        return await asyncio.shield(answer_future)

    async def settle(self) -> None:
        """Waits until every run has ended and every outcome is recorded."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        await self.recorder.wait_until_empty()

    def _on_run_ended(
        self, task: asyncio.Task[None], answer_future: asyncio.Future[ServiceOutcome | Failure]
    ) -> None:
        """Removes an ended run; if it has no result, reports that the call may have run."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            structlog.get_logger().error(LogEvent.INTERNAL_ERROR, exc_info=task.exception())
        if not answer_future.done():
            reason = "the call was interrupted; it may have run"
            answer_future.set_result(Failure(ErrorKind.INTERNAL, reason, Ran.UNKNOWN))


class _ClaimRun:
    """A call in progress, from its reception until its outcome is passed to the recorder."""

    def __init__(
        self,
        runner: ClaimRunner,
        req: ClaimRequest,
        key: IdempotencyKey,
        answer_future: asyncio.Future[ServiceOutcome | Failure],
    ):
        self._runner = runner
        self._cfg = runner.cfg.claims
        self._req = req
        self._key = key
        self._claim_key = key.claim_key(req.workspace, req.service, self._cfg)
        self._answer_future = answer_future
        now = runner.clock()
        # Time kept before the deadline in which the peers can void the key if settling fails.
        reserve = min(self._cfg.void_timeout, (req.deadline - now) / 2)
        self._settle_deadline = min(now + self._cfg.settle_timeout, req.deadline - reserve)
        now_unix = runner.clock_unix()
        self._key_status = runner.received.receive(self._claim_key, now_unix)
        self._machine = ClaimMachine(self._build_call(), self._cfg)

    async def drive(self) -> None:
        """Executes the machine's decisions until none is left."""
        decisions = deque(self._machine.start(self._runner.clock(), self._runner.clock_unix()))
        while decisions:
            decisions.extend(await self._execute(decisions.popleft()))

    def _build_call(self) -> ClaimCall:
        """Builds the machine's description of the call."""
        return ClaimCall(
            self._claim_key,
            self._runner.cfg.instance,
            uuid4().hex,
            self._req.content_hash(),
            self._req.deadline,
            self._req.timeout,
            voided=self._key_status in (KeyStatus.VOIDED, KeyStatus.PROVEN),
            proven=self._key_status is KeyStatus.PROVEN,
        )

    async def _execute(self, decision: ClaimDecision) -> list[ClaimDecision]:
        """Executes one decision and returns those that follow from it."""
        machine, runner = self._machine, self._runner
        match decision:
            case Answer(result):
                if not self._answer_future.done():
                    self._answer_future.set_result(result)
            case RecordOutcome():
                runner.recorder.add(decision)
            case WriteClaim():
                result = await self._write(decision)
                return machine.on_written(runner.clock(), result)
            case ReadClaim():
                found = await self._read(decision.key)
                return machine.on_read(runner.clock(), runner.clock_unix(), found)
            case Wait(until):
                await asyncio.sleep(until - runner.clock())
                # The event loop can wake up a few microseconds early.
                return machine.on_tick(max(until, runner.clock()))
            case ProveNotRun(key):
                return machine.on_proof(await self._prove_not_run(key))
            case DispatchOnce():
                return await self._dispatch(decision)
        return []

    async def _write(self, decision: WriteClaim) -> WriteResult:
        """Writes the claim within the timeout of platform calls."""
        try:
            async with asyncio.timeout(self._compute_platform_timeout()):
                return await self._runner.store.put(
                    decision.key, decision.value, decision.expect_version
                )
        except TimeoutError:
            return WriteResult(WriteStatus.AMBIGUOUS)

    async def _read(self, key: str) -> StoredObject | Failure | None:
        """Reads the claim within the timeout of platform calls."""
        try:
            async with asyncio.timeout(self._compute_platform_timeout()):
                return await self._runner.store.get(key)
        except TimeoutError:
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the platform did not answer in time")

    def _compute_platform_timeout(self) -> float:
        """Returns the timeout of a platform call in seconds.

        After settling, while another call's claim is read, the caller's deadline applies.
        """
        end = self._settle_deadline if self._machine.is_settling else self._req.deadline
        return max(0.0, end - self._runner.clock())

    async def _prove_not_run(self, claim_key: str) -> bool:
        """Tries to prove that no call with the key ran or will run."""
        received = self._runner.received
        if not received.void_abandoned(claim_key):
            return False
        try:
            async with asyncio.timeout(self._cfg.void_timeout):
                answers = await self._runner.key_voider.void(claim_key)
        except TimeoutError:
            return False
        return received.prove_not_run(claim_key, self._key.time_unix, answers)

    async def _dispatch(self, decision: DispatchOnce) -> list[ClaimDecision]:
        """Sends the request; if the deadline passes first, answers while the run continues."""
        runner = self._runner
        task = asyncio.create_task(self._send(decision))
        early_decisions: list[ClaimDecision] = []
        remaining = max(0.0, self._req.deadline - runner.clock())
        done, _ = await asyncio.wait({task}, timeout=remaining)
        if not done:
            early_decisions = self._machine.on_deadline()
            for answer in early_decisions:
                await self._execute(answer)
        reply = await task
        return self._machine.on_service(runner.clock(), reply)

    async def _send(self, decision: DispatchOnce) -> ServiceReply:
        """Sends the request once, within its timeout."""
        runner, req = self._runner, self._req
        if runner.clock() >= decision.not_after:
            return NotSent("")
        try:
            async with asyncio.timeout(req.timeout):
                return await runner.service.call(req, decision.avoid, decision.not_after)
        except TimeoutError:
            return NoResponse(req.service, f"no response within {req.timeout:g} s")
        except Exception as exc:
            structlog.get_logger().error(LogEvent.INTERNAL_ERROR, exc_info=exc)
            return NoResponse(req.service, "the client failed")
