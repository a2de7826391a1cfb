"""Life cycle of one generation across its attempts."""

from __future__ import annotations

from dataclasses import replace
from io import StringIO
from typing import TYPE_CHECKING

from sapphireledge.core.answer.attempt_failure_cause import AttemptFailureCause
from sapphireledge.core.answer.cancel_attempt import CancelAttempt
from sapphireledge.core.answer.complete import Complete
from sapphireledge.core.answer.deliver import Deliver
from sapphireledge.core.answer.dispatch import Dispatch
from sapphireledge.core.answer.gap_detector import GapDetector
from sapphireledge.core.answer.generation_phase import GenerationPhase
from sapphireledge.core.answer.ignore import Ignore
from sapphireledge.core.answer.probe import Probe
from sapphireledge.core.answer.refuse import Refuse
from sapphireledge.errors import ErrorKind, Failure, Ran

if TYPE_CHECKING:
    from sapphireledge.core.answer.decision import Decision
    from sapphireledge.core.answer.generation_request import GenerationRequest
    from sapphireledge.settings import ResumeSettings

__all__ = ["GenerationMachine"]

MAX_FIRST_TOKEN_PROBES = 3
"""Probes that may extend the wait for the first token; each one doubles the timeout."""

_STALE_ATTEMPT = Ignore("output of an attempt that is not the current one")
_DUPLICATE_TOKEN = Ignore("token was received before")
_ENDED = Ignore("the generation has ended")
_NOT_WAITING = Ignore("no dispatch is pending")
_STALE_PROBE = Ignore("the attempt is not being probed")


class GenerationMachine:
    """State machine that controls one generation across its attempts.

    A token is delivered only if it belongs to the current attempt and has the next offset. A lost
    attempt is replaced by one that continues from the next offset, so the delivered tokens form
    one generation without missing or repeated tokens.

    `Deliver`, `Complete` and `Refuse` are returned in the order of the answer. An I/O layer that
    implements output commit holds them back, in this order, until the partner has stored them.
    """

    __slots__ = (
        "_attempt",
        "_attempt_offset",
        "_attempt_software",
        "_avoid",
        "_backend",
        "_cfg",
        "_first_token_limit",
        "_gap_detector",
        "_has_first_token",
        "_last_activity",
        "_next_offset",
        "_phase",
        "_possible_runs",
        "_prefer",
        "_probed_at",
        "_request",
        "_software",
        "_text",
        "_version",
        "_wait_extensions",
    )

    def __init__(self, request: GenerationRequest, cfg: ResumeSettings) -> None:
        self._request = request
        self._cfg = cfg
        self._phase = GenerationPhase.NEW
        self._version = request.version
        self._software = request.software
        self._attempt_software = ""
        self._next_offset = request.prefix.offset
        # A buffer takes a few bytes for each token; a list of strings takes more than 50.
        self._text = StringIO()
        self._text.write(request.prefix.text)
        self._attempt = 0
        self._backend = ""
        self._prefer = ""
        self._avoid: tuple[str, ...] = ()
        self._attempt_offset = self._next_offset
        self._has_first_token = False
        # Attempts that may have run; after a takeover, those of the previous owner count as one.
        self._possible_runs = 0 if request.epoch <= 1 else 1
        self._last_activity = 0.0
        self._probed_at = 0.0
        self._wait_extensions = 0
        self._first_token_limit = 0.0
        self._gap_detector = GapDetector(cfg)

    @property
    def request(self) -> GenerationRequest:
        """The request, unchanged."""
        return self._request

    @property
    def phase(self) -> GenerationPhase:
        """The current phase."""
        return self._phase

    @property
    def ended(self) -> bool:
        """Whether the generation has ended."""
        return self._phase is GenerationPhase.ENDED

    @property
    def attempt(self) -> int:
        """Number of the current attempt; 0 before `start`."""
        return self._attempt

    @property
    def backend(self) -> str:
        """Backend server of the latest attempt; empty before the first one is chosen."""
        return self._backend

    @property
    def version(self) -> str:
        """Model version of the answer; empty until the first attempt has determined it."""
        return self._version

    @property
    def software(self) -> str | None:
        """Software version that generated the tokens so far; None if it is not known."""
        return self._software

    @property
    def offset(self) -> int:
        """Offset of the next token."""
        return self._next_offset

    @property
    def text(self) -> str:
        """Text of all tokens so far, which is the prefix of the next attempt."""
        return self._text.getvalue()

    @property
    def deadline(self) -> float | None:
        """Monotonic time at which `on_tick` is due, or None."""
        if self._phase is GenerationPhase.ACTIVE:
            return self._last_activity + self._silence_limit()
        if self._phase is GenerationPhase.PROBING:
            return self._probed_at + self._cfg.probe_timeout
        return None

    def start(self, now: float) -> list[Decision]:
        """Starts the generation.

        Args:
            now: Monotonic time in seconds, as in all other methods.

        Returns:
            Dispatch of the first attempt.
        """
        if self._phase is not GenerationPhase.NEW:
            return [Ignore("already started")]
        return self._next_attempt("")

    def on_dispatched(
        self, now: float, attempt: int, backend: str, version: str = ""
    ) -> list[Decision]:
        """Handles the choice of a backend server for an attempt.

        Must be called before the request is sent.

        Args:
            now: Monotonic time in seconds.
            attempt: Number of the attempt.
            backend: Chosen backend server.
            version: Model version that the backend server runs; empty if unknown.

        Returns:
            Nothing if the choice is accepted, otherwise the decisions that reject it.
        """
        if attempt != self._attempt or self._phase is not GenerationPhase.WAITING:
            if attempt == self._attempt and backend == self._backend and not self.ended:
                return [Ignore("already dispatched")]
            return [CancelAttempt(attempt, backend)]
        if self._version and version and version != self._version:
            self._backend = backend
            return self._retry_elsewhere(now, AttemptFailureCause.VERSION_MISMATCH)
        self._version = self._version or version
        if backend != self._backend:
            self._gap_detector = GapDetector(self._cfg)
        self._backend = backend
        self._phase = GenerationPhase.ACTIVE
        self._attempt_offset = self._next_offset
        self._attempt_software = ""
        self._has_first_token = False
        self._possible_runs += 1
        self._last_activity = now
        self._wait_extensions = 0
        self._first_token_limit = self._cfg.first_token_silence
        if self._next_offset:
            # A caller that is already reading the answer is waiting for this attempt.
            self._first_token_limit = min(self._first_token_limit, self._cfg.gap_ceiling)
        return []

    def on_accepted(self, now: float, attempt: int, software: str) -> list[Decision]:
        """Handles the response head of an engine that accepted an attempt.

        Need not be called for an engine that names no software version, if that of the answer is
        empty, too.

        Args:
            now: Monotonic time in seconds.
            attempt: Number of the attempt.
            software: Version of the engine's software; empty if it names none.

        Returns:
            Nothing, or a new attempt if another version generated the tokens so far.
        """
        if attempt != self._attempt or not self._is_running():
            return [_ENDED if self.ended else _STALE_ATTEMPT]
        self._attempt_software = software
        if self._next_offset and software != (self._software or ""):
            return self._retry_elsewhere(now, AttemptFailureCause.VERSION_MISMATCH)
        return []

    def on_token(self, now: float, attempt: int, offset: int, text: str) -> list[Decision]:
        """Handles a token from an engine.

        Args:
            now: Monotonic time in seconds; the same for all tokens of a chunk.
            attempt: Attempt reported by the engine.
            offset: Token offset reported by the engine.
            text: Text of the token.

        Returns:
            The delivery, the reason why the token is ignored, or a new attempt.
        """
        if attempt != self._attempt or not self._is_running():
            return [_ENDED if self.ended else _STALE_ATTEMPT]
        if offset != self._next_offset:
            return self._on_unexpected_offset(now, offset)
        if self._has_first_token:
            self._gap_detector.observe(now - self._last_activity)
        else:
            self._has_first_token = True
            self._avoid = ()
        if not offset:
            self._software = self._attempt_software
        self._phase = GenerationPhase.ACTIVE
        self._last_activity = now
        self._next_offset = offset + 1
        self._text.write(text)
        return [Deliver(offset, text)]

    def on_finished(self, now: float, attempt: int, total: int, reason: str) -> list[Decision]:
        """Handles the end of the answer as reported by an engine.

        Args:
            now: Monotonic time in seconds.
            attempt: Attempt reported by the engine.
            total: Number of tokens in the answer, including the prefix.
            reason: Finish reason.

        Returns:
            The completion, or a new attempt if the total does not match the received tokens.
        """
        if attempt != self._attempt or not self._is_running():
            return [_ENDED if self.ended else _STALE_ATTEMPT]
        if total > self._next_offset:
            return self._retry_on_live_engine(now)
        if total < self._next_offset:
            return self._retry_elsewhere(now, AttemptFailureCause.PROTOCOL)
        self._phase = GenerationPhase.ENDED
        return [Complete(total, reason)]

    def on_broken(self, now: float, attempt: int, cause: AttemptFailureCause) -> list[Decision]:
        """Handles a connection that ended before the answer was complete.

        Args:
            now: Monotonic time in seconds.
            attempt: Attempt of the connection.
            cause: Why it ended.

        Returns:
            A new attempt on another backend server, or the refusal.
        """
        if attempt != self._attempt or not self._is_running():
            return [_ENDED if self.ended else _STALE_ATTEMPT]
        return self._retry_elsewhere(now, cause)

    def on_tick(self, now: float) -> list[Decision]:
        """Checks the timeouts; due at `deadline`.

        Args:
            now: Monotonic time in seconds.

        Returns:
            A probe of an engine that stopped sending, or a new attempt if the probe timed out.
        """
        deadline = self.deadline
        if deadline is None or now < deadline:
            return []
        if self._phase is GenerationPhase.PROBING:
            return self._retry_elsewhere(now, AttemptFailureCause.TIMEOUT)
        self._phase = GenerationPhase.PROBING
        self._probed_at = now
        return [Probe(self._attempt, self._backend)]

    def on_probe(
        self, now: float, attempt: int, alive: bool, knows_attempt: bool
    ) -> list[Decision]:
        """Handles the result of a probe.

        Args:
            now: Monotonic time in seconds.
            attempt: Attempt that was probed.
            alive: Whether the engine responded.
            knows_attempt: Whether the engine still runs the attempt.

        Returns:
            A new attempt, which prefers the same engine if it is alive, unless a retry there has
            produced no token. Nothing if the engine still runs the attempt, and it may need more
            time for the first token or no attempt is left.
        """
        if attempt != self._attempt or self._phase is not GenerationPhase.PROBING:
            return [_STALE_PROBE]
        if not alive:
            return self._retry_elsewhere(now, AttemptFailureCause.TIMEOUT)
        if knows_attempt and self._can_extend_wait():
            self._phase = GenerationPhase.ACTIVE
            self._wait_extensions += 1
            self._last_activity = now
            return []
        return self._retry_on_live_engine(now)

    def on_no_backend(self, now: float, failure: Failure) -> list[Decision]:
        """Handles the failure to choose a backend server for the pending dispatch.

        Args:
            now: Monotonic time in seconds.
            failure: Cause; `no_backend` becomes `version_gone` if the answer already has tokens.

        Returns:
            The refusal.
        """
        if self._phase is not GenerationPhase.WAITING:
            return [_ENDED if self.ended else _NOT_WAITING]
        if self._next_offset and failure.kind is ErrorKind.NO_BACKEND:
            reason = f"no backend server of version {self._describe_version()} is left"
            failure = Failure(ErrorKind.VERSION_GONE, reason)
        return self._refuse(failure)

    def on_caller_gone(self, now: float) -> list[Decision]:
        """Handles the disconnection of the last caller that was reading the answer.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Cancellation of the running attempt, which frees the slot at its engine.
        """
        if self.ended:
            return [_ENDED]
        decisions = self._cancel()
        self._phase = GenerationPhase.ENDED
        return decisions

    def on_superseded(self, now: float, owner: str = "") -> list[Decision]:
        """Handles the loss of ownership to another entry.

        Args:
            now: Monotonic time in seconds.
            owner: The new owner; empty if unknown.

        Returns:
            Cancellation of the running attempt, and the refusal.
        """
        if self.ended:
            return [_ENDED]
        reason = f"entry {owner} continues the answer" if owner else "another entry continues it"
        return self._cancel() + self._refuse(Failure(ErrorKind.ANSWER_MOVED, reason))

    def _describe_version(self) -> str:
        version = self._version or "unknown"
        return f"{version}, software {self._software}" if self._software else version

    def _is_running(self) -> bool:
        return self._phase is GenerationPhase.ACTIVE or self._phase is GenerationPhase.PROBING

    def _silence_limit(self) -> float:
        if self._has_first_token:
            return self._gap_detector.limit
        return self._first_token_limit * 2 ** min(self._wait_extensions, MAX_FIRST_TOKEN_PROBES)

    def _can_extend_wait(self) -> bool:
        if self._attempt >= self._cfg.max_attempts:
            # No attempt is left to replace a run that its engine still lists.
            return True
        # A retry on the same engine finds a warm prefix cache, so a long prefill does not explain
        # the missing token.
        is_retry = self._prefer == self._backend
        return (
            not self._has_first_token
            and not is_retry
            and self._wait_extensions < MAX_FIRST_TOKEN_PROBES
        )

    def _on_unexpected_offset(self, now: float, offset: int) -> list[Decision]:
        if offset > self._next_offset:
            return self._retry_on_live_engine(now)
        if offset < self._attempt_offset:
            # The engine did not continue from the prefix, so this is a different generation.
            return self._retry_elsewhere(now, AttemptFailureCause.PROTOCOL)
        return [_DUPLICATE_TOKEN]

    def _retry_on_live_engine(self, now: float) -> list[Decision]:
        """Retries on the same engine, or elsewhere if a retry there has produced no token."""
        if not self._has_first_token and self._prefer == self._backend:
            return self._retry_elsewhere(now, AttemptFailureCause.TIMEOUT)
        return self._cancel() + self._next_attempt(self._backend)

    def _retry_elsewhere(self, now: float, cause: AttemptFailureCause) -> list[Decision]:
        """Retries on another backend server."""
        decisions = self._cancel() if cause is not AttemptFailureCause.REFUSED else []
        if cause.proves_not_run and not self._has_first_token:
            self._possible_runs -= 1
            if not self._possible_runs and not self._next_offset:
                # Nothing has run, so the answer is not tied to this version yet.
                self._version = self._request.version
        if self._backend not in self._avoid:
            self._avoid = (*self._avoid, self._backend)
        return decisions + self._next_attempt("")

    def _cancel(self) -> list[Decision]:
        if not self._is_running():
            return []
        return [CancelAttempt(self._attempt, self._backend)]

    def _next_attempt(self, prefer: str) -> list[Decision]:
        if self._attempt >= self._cfg.max_attempts:
            reason = f"{self._attempt} attempts were lost, the last on {self._backend}"
            return self._refuse(Failure(ErrorKind.OVERLOADED, reason))
        self._phase = GenerationPhase.WAITING
        self._attempt += 1
        self._prefer = prefer
        software = self._software if self._next_offset else ""
        return [
            Dispatch(self._attempt, self._next_offset, prefer, self._avoid, self._version, software)
        ]

    def _refuse(self, failure: Failure) -> list[Decision]:
        self._phase = GenerationPhase.ENDED
        return [Refuse(replace(failure, ran=self._determine_run_state(failure)), self._next_offset)]

    def _determine_run_state(self, failure: Failure) -> Ran:
        if self._next_offset or failure.ran is Ran.YES:
            return Ran.YES
        return Ran.UNKNOWN if self._possible_runs else failure.ran
