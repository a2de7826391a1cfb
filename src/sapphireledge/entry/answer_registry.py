"""Registry of the answers that this instance owns."""

from __future__ import annotations

import time
from collections import OrderedDict
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

UNREAD_SHARE = 4
"""Part of the machine's memory, as a divisor, that requests whose callers have left may take."""

ANSWER_BYTES = 4_096
"""Memory in bytes of an answer's objects, beside its request and its tokens."""

PIECE_BYTES = 90
"""Memory in bytes of each token."""


class AnswerRegistry:
    """Answers that this instance owns: running, ended, or abandoned by their callers."""

    def __init__(self, ctx: AnswerContext) -> None:
        """Creates an empty registry.

        Args:
            ctx: Components of the instance that a generation uses.
        """
        self._ctx = ctx
        self._runners: dict[str, AnswerRunner] = {}
        self._unread: OrderedDict[str, int] = OrderedDict()
        self._unread_bytes = 0
        self._max_unread_bytes = ctx.cfg.machine.memory // UNREAD_SHARE

    @property
    def running(self) -> int:
        """Number of answers that are being generated and have a reader."""
        return sum(1 for r in self._runners.values() if r.answer.end is None and r.answer.readers)

    def get(self, answer_id: str) -> AnswerRunner | None:
        """Looks up an answer.

        Args:
            answer_id: Key of the answer.

        Returns:
            Its runner, or None if the answer is not registered.
        """
        return self._runners.get(answer_id)

    def start(
        self,
        req: CallerRequest,
        trace: Context | None = None,
        *,
        epoch: int = 1,
        version: str = "",
        software: str | None = None,
        pieces: Sequence[str] = (),
        prior_attempts: int = 0,
    ) -> AnswerRunner:
        """Starts a generation, or continues one from a prefix.

        Args:
            req: The request.
            trace: Trace context of the request.
            epoch: Ownership epoch of the answer.
            version: Model version that generated the prefix; empty for a new answer.
            software: Software version that generated the prefix; None if it is not known.
            pieces: Tokens of the prefix.
            prior_attempts: Number of attempts that this instance already made in this epoch.

        Returns:
            The started runner.
        """
        runner = self._create_runner(req, trace, epoch, version, pieces, prior_attempts, software)
        runner.start()
        return runner

    def adopt_ended(
        self,
        req: CallerRequest,
        end: AnswerEnd,
        epoch: int,
        version: str,
        pieces: Sequence[str],
        software: str | None = None,
    ) -> AnswerRunner:
        """Registers an answer taken over from another instance that has already ended.

        Args:
            req: The request.
            end: How it ended.
            epoch: Ownership epoch of the answer.
            version: Model version of the answer.
            pieces: All its tokens.
            software: Software version that generated them; None if it is not known.

        Returns:
            A runner that was not started.
        """
        runner = self._create_runner(req, None, epoch, version, pieces, 0, software)
        runner.answer.finish(end)
        runner.answer.ended_at = time.monotonic()
        return runner

    def attach(self, runner: AnswerRunner) -> AnswerRunner:
        """Adds a reader, and resumes the generation if it was suspended for lack of readers.

        Args:
            runner: Runner of the answer.

        Returns:
            The runner to read from; a new one if the generation was resumed.
        """
        answer = runner.answer
        self._unread_bytes -= self._unread.pop(answer.answer_id, 0)
        if answer.end is None and runner.machine.ended:
            runner = self.start(
                runner.request,
                epoch=answer.epoch,
                version=answer.version,
                software=answer.software,
                pieces=tuple(answer.pieces),
                prior_attempts=runner.attempts,
            )
        runner.answer.readers += 1
        runner.answer.ended_at = None if runner.answer.end is None else runner.answer.ended_at
        return runner

    def detach(self, runner: AnswerRunner) -> None:
        """Removes a reader; after the last one the generation is suspended to free the engine.

        Args:
            runner: Runner of the answer.
        """
        answer = runner.answer
        answer.readers -= 1
        if answer.readers <= 0 and answer.end is None and not runner.machine.ended:
            runner.suspend()
        if answer.readers <= 0 and self._runners.get(answer.answer_id) is runner:
            self._keep_unread(runner)

    def _keep_unread(self, runner: AnswerRunner) -> None:
        """Keeps an answer without readers; the oldest give way if they take too much memory."""
        answer_id = runner.answer.answer_id
        self._unread_bytes -= self._unread.pop(answer_id, 0)
        size = ANSWER_BYTES + PIECE_BYTES * len(runner.answer.pieces) + runner.request.memory
        self._unread[answer_id] = size
        self._unread_bytes += size
        while self._unread_bytes > self._max_unread_bytes:
            oldest, size = self._unread.popitem(last=False)
            self._unread_bytes -= size
            self._runners.pop(oldest, None)

    def expire(self, now: float) -> None:
        """Removes answers whose retention has expired.

        Args:
            now: Monotonic time in seconds.
        """
        retention = self._ctx.cfg.callers.finished_retention
        for answer_id, runner in list(self._runners.items()):
            ended_at = runner.answer.ended_at
            if ended_at is not None and not runner.answer.readers and now - ended_at >= retention:
                del self._runners[answer_id]
                self._unread_bytes -= self._unread.pop(answer_id, 0)

    def _create_runner(
        self,
        req: CallerRequest,
        trace: Context | None,
        epoch: int,
        version: str,
        pieces: Sequence[str],
        prior_attempts: int,
        software: str | None = None,
    ) -> AnswerRunner:
        """Creates a runner and registers it."""
        now = time.monotonic()
        answer = RunningAnswer(req.answer_id, epoch, version)
        answer.software = software
        for piece in pieces:
            answer.append(piece)
        answer.release(len(pieces))
        request = GenerationRequest(
            request_id=req.answer_id,
            model=req.model,
            version=version,
            software=software,
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
