"""Answers that this instance owns."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sapphireledge.core.answer import GenerationRequest, StoredPrefix
from sapphireledge.core.replay import RecordingMachine
from sapphireledge.entry.answer_runner import AnswerRunner
from sapphireledge.entry.running_answer import RunningAnswer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from opentelemetry.context import Context

    from sapphireledge.core.answer import AnswerEnd
    from sapphireledge.entry.answer_context import AnswerContext
    from sapphireledge.entry.caller_request import CallerRequest

__all__ = ["AnswerRegistry"]


class AnswerRegistry:
    """Answers that this instance owns, running, ended or left by their caller."""

    def __init__(self, ctx: AnswerContext) -> None:
        """Creates an empty registry.

        Args:
            ctx: Parts of the instance that a generation needs.
        """
        self._ctx = ctx
        self._runners: dict[str, AnswerRunner] = {}

    @property
    def running(self) -> int:
        """Answers that are being generated and have a reader."""
        return sum(1 for r in self._runners.values() if r.answer.end is None and r.answer.readers)

    def get(self, answer_id: str) -> AnswerRunner | None:
        """Finds an answer.

        Args:
            answer_id: Key of the answer.

        Returns:
            Its runner, or None.
        """
        return self._runners.get(answer_id)

    def start(
        self,
        req: CallerRequest,
        trace: Context | None = None,
        *,
        epoch: int = 1,
        version: str = "",
        pieces: Sequence[str] = (),
        prior_attempts: int = 0,
    ) -> AnswerRunner:
        """Starts a generation, or goes on with one from a prefix.

        Args:
            req: The request.
            trace: Trace context of the request.
            epoch: Number of this ownership.
            version: Model version that the prefix is bound to.
            pieces: Tokens that exist already.
            first_attempt: Attempts that this owner made before.

        Returns:
            The started runner.
        """
        runner = self._create_runner(req, trace, epoch, version, pieces, prior_attempts)
        runner.start()
        return runner

    def adopt_ended(
        self, req: CallerRequest, end: AnswerEnd, epoch: int, version: str, pieces: Sequence[str]
    ) -> AnswerRunner:
        """Takes over an answer that has ended.

        Args:
            req: The request.
            end: How it ended.
            epoch: Number of this ownership.
            version: Model version of the answer.
            pieces: All its tokens.

        Returns:
            A runner that does not run.
        """
        runner = self._create_runner(req, None, epoch, version, pieces, 0)
        runner.answer.finish(end)
        runner.answer.ended_at = time.monotonic()
        return runner

    def attach(self, runner: AnswerRunner) -> AnswerRunner:
        """Adds a reader and goes on with an answer that its last reader left.

        Args:
            runner: Runner of the answer.

        Returns:
            The runner to read from.
        """
        answer = runner.answer
        if answer.end is None and runner.machine.ended:
            runner = self.start(
                runner.request,
                epoch=answer.epoch,
                version=answer.version,
                pieces=tuple(answer.pieces),
                prior_attempts=runner.attempts,
            )
        runner.answer.readers += 1
        runner.answer.ended_at = None if runner.answer.end is None else runner.answer.ended_at
        return runner

    def detach(self, runner: AnswerRunner) -> None:
        """Removes a reader; without one the engine is freed at once.

        Args:
            runner: Runner of the answer.
        """
        answer = runner.answer
        answer.readers -= 1
        if answer.readers <= 0 and answer.end is None and not runner.machine.ended:
            runner.suspend()

    def expire(self, now: float) -> None:
        """Forgets answers whose retention has passed.

        Args:
            now: Monotonic time in seconds.
        """
        retention = self._ctx.cfg.callers.finished_retention
        for answer_id, runner in list(self._runners.items()):
            ended_at = runner.answer.ended_at
            if ended_at is not None and not runner.answer.readers and now - ended_at >= retention:
                del self._runners[answer_id]

    def _create_runner(
        self,
        req: CallerRequest,
        trace: Context | None,
        epoch: int,
        version: str,
        pieces: Sequence[str],
        prior_attempts: int,
    ) -> AnswerRunner:
        """Builds a runner and registers it."""
        now = time.monotonic()
        answer = RunningAnswer(req.answer_id, epoch, version)
        for piece in pieces:
            answer.append(piece)
        answer.release(len(pieces))
        request = GenerationRequest(
            request_id=req.answer_id,
            model=req.model,
            version=version,
            prefix=StoredPrefix.from_pieces(pieces),
            epoch=epoch,
        )
        machine = RecordingMachine(
            request,
            self._ctx.cfg.resume,
            self._ctx.events,
            now=now,
            unix_offset=time.time() - now,
            record_text=self._ctx.cfg.telemetry.record_text,
            hash_key=self._ctx.cfg.fleet_secret,
        )
        runner = AnswerRunner(req, answer, machine, self._ctx, trace, prior_attempts)
        self._runners[req.answer_id] = runner
        return runner
