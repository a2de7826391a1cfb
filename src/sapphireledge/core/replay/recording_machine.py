"""Generation machine that records its inputs and decisions."""

from __future__ import annotations

import math
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from sapphireledge.core.answer import Deliver, GenerationMachine
from sapphireledge.core.replay._event_encoder import EventEncoder
from sapphireledge.core.replay.event_name import EventName
from sapphireledge.core.replay.request_event import RequestEvent
from sapphireledge.core.replay.token_run import TICKS_PER_SECOND, TokenRun

if TYPE_CHECKING:
    from sapphireledge.core.answer import (
        AttemptFailureCause,
        Decision,
        GenerationPhase,
        GenerationRequest,
    )
    from sapphireledge.core.replay.event_log import EventLog
    from sapphireledge.errors import Failure
    from sapphireledge.settings import ResumeSettings

__all__ = ["RecordingMachine"]

MAX_RUN_TOKENS = 128
"""Tokens after which a run is recorded; longer runs would save little more memory."""


def _round_up_to_ms(now: float) -> float:
    # Rounding down could move a tick at the deadline of the machine to before the deadline.
    return math.ceil(now * TICKS_PER_SECOND) / TICKS_PER_SECOND


class RecordingMachine:
    """Generation machine that records its inputs and decisions.

    It has the same methods as `GenerationMachine`. Times are rounded up to a millisecond before
    they are passed on, so that the recorded times are exactly those that the machine received.
    Consecutive tokens that are only delivered are recorded as one run. Ticks without a decision
    have no effect and are not recorded.
    """

    def __init__(
        self,
        request: GenerationRequest,
        cfg: ResumeSettings,
        log: EventLog,
        *,
        now: float,
        unix_offset: float = 0.0,
        record_text: bool = False,
        hash_key: str = "",
    ) -> None:
        """Creates the machine and records its creation.

        Args:
            request: The request.
            cfg: Settings for failure detection and resume.
            log: Log to which the events are appended.
            now: Monotonic time in seconds.
            unix_offset: Unix time minus monotonic time in seconds.
            record_text: Whether texts are recorded instead of their length and hash.
            hash_key: Secret key of the text hashes.
        """
        self._machine = GenerationMachine(request, cfg)
        self._log = log
        self._encoder = EventEncoder(record_text, hash_key)
        self._recording = log.start_recording()
        self._sequence = 0
        self._token_run: TokenRun | None = None
        self._lines: list[bytes] = []
        created: dict[str, Any] = {
            "request_id": request.request_id,
            "model": request.model,
            "version": request.version,
            "software": request.software,
            "epoch": request.epoch,
            "prefix": {
                "offset": request.prefix.offset,
                **self._encoder.encode_text(request.prefix.text),
            },
            "settings": asdict(cfg),
            "unix_offset": unix_offset,
        }
        self._append(_round_up_to_ms(now), EventName.CREATED, created, [])

    @property
    def request(self) -> GenerationRequest:
        """The request, unchanged."""
        return self._machine.request

    @property
    def phase(self) -> GenerationPhase:
        """The current phase."""
        return self._machine.phase

    @property
    def ended(self) -> bool:
        """Whether the generation has ended."""
        return self._machine.ended

    @property
    def attempt(self) -> int:
        """Number of the current attempt; 0 before `start`."""
        return self._machine.attempt

    @property
    def backend(self) -> str:
        """Backend server of the latest attempt; empty before the first one is chosen."""
        return self._machine.backend

    @property
    def version(self) -> str:
        """Model version of the answer; empty until the first attempt has determined it."""
        return self._machine.version

    @property
    def software(self) -> str | None:
        """Software version that generated the tokens so far; None if it is not known."""
        return self._machine.software

    @property
    def offset(self) -> int:
        """Offset of the next token."""
        return self._machine.offset

    @property
    def text(self) -> str:
        """Text of all tokens so far, which is the prefix of the next attempt."""
        return self._machine.text

    @property
    def deadline(self) -> float | None:
        """Monotonic time at which `on_tick` is due, or None."""
        return self._machine.deadline

    def start(self, now: float) -> list[Decision]:
        """Calls `GenerationMachine.start` and records the call."""
        now = _round_up_to_ms(now)
        return self._record(now, EventName.STARTED, {}, self._machine.start(now))

    def on_dispatched(
        self, now: float, attempt: int, backend: str, version: str = ""
    ) -> list[Decision]:
        """Calls `GenerationMachine.on_dispatched` and records the call."""
        now = _round_up_to_ms(now)
        decisions = self._machine.on_dispatched(now, attempt, backend, version)
        values = {"attempt": attempt, "backend": backend, "version": version}
        return self._record(now, EventName.DISPATCHED, values, decisions)

    def on_accepted(self, now: float, attempt: int, software: str) -> list[Decision]:
        """Calls `GenerationMachine.on_accepted` and records the call."""
        now = _round_up_to_ms(now)
        decisions = self._machine.on_accepted(now, attempt, software)
        values = {"attempt": attempt, "software": software}
        return self._record(now, EventName.ACCEPTED, values, decisions)

    def on_token(self, now: float, attempt: int, offset: int, text: str) -> list[Decision]:
        """Calls `GenerationMachine.on_token` and records the call."""
        now = _round_up_to_ms(now)
        decisions = self._machine.on_token(now, attempt, offset, text)
        if len(decisions) == 1 and type(decisions[0]) is Deliver:
            self._extend_token_run(now, attempt, offset, text)
            return decisions
        values = {"attempt": attempt, "offset": offset, **self._encoder.encode_text(text)}
        return self._record(now, EventName.TOKEN, values, decisions)

    def on_finished(self, now: float, attempt: int, total: int, reason: str) -> list[Decision]:
        """Calls `GenerationMachine.on_finished` and records the call."""
        now = _round_up_to_ms(now)
        decisions = self._machine.on_finished(now, attempt, total, reason)
        values = {"attempt": attempt, "total": total, "reason": reason}
        return self._record(now, EventName.FINISHED, values, decisions)

    def on_broken(self, now: float, attempt: int, cause: AttemptFailureCause) -> list[Decision]:
        """Calls `GenerationMachine.on_broken` and records the call."""
        now = _round_up_to_ms(now)
        decisions = self._machine.on_broken(now, attempt, cause)
        return self._record(now, EventName.BROKEN, {"attempt": attempt, "cause": cause}, decisions)

    def on_tick(self, now: float) -> list[Decision]:
        """Calls `GenerationMachine.on_tick` and records the call if it led to a decision."""
        now = _round_up_to_ms(now)
        decisions = self._machine.on_tick(now)
        if not decisions:
            return decisions
        return self._record(now, EventName.TICK, {}, decisions)

    def on_probe(
        self, now: float, attempt: int, alive: bool, knows_attempt: bool
    ) -> list[Decision]:
        """Calls `GenerationMachine.on_probe` and records the call."""
        now = _round_up_to_ms(now)
        decisions = self._machine.on_probe(now, attempt, alive, knows_attempt)
        values = {"attempt": attempt, "alive": alive, "knows_attempt": knows_attempt}
        return self._record(now, EventName.PROBED, values, decisions)

    def on_no_backend(self, now: float, failure: Failure) -> list[Decision]:
        """Calls `GenerationMachine.on_no_backend` and records the call."""
        now = _round_up_to_ms(now)
        decisions = self._machine.on_no_backend(now, failure)
        return self._record(now, EventName.NO_BACKEND, {"failure": asdict(failure)}, decisions)

    def on_caller_gone(self, now: float) -> list[Decision]:
        """Calls `GenerationMachine.on_caller_gone` and records the call."""
        now = _round_up_to_ms(now)
        return self._record(now, EventName.CALLER_GONE, {}, self._machine.on_caller_gone(now))

    def on_superseded(self, now: float, owner: str = "") -> list[Decision]:
        """Calls `GenerationMachine.on_superseded` and records the call."""
        now = _round_up_to_ms(now)
        decisions = self._machine.on_superseded(now, owner)
        return self._record(now, EventName.SUPERSEDED, {"owner": owner}, decisions)

    def note(self, now: float, name: str, values: dict[str, Any]) -> None:
        """Records an action of the I/O layer, which replay skips.

        Args:
            now: Monotonic time in seconds.
            name: Name of the note, not one of `EventName`.
            values: Details of the action, without text of the caller.
        """
        self._record(_round_up_to_ms(now), name, values, [])

    def flush(self) -> None:
        """Records the tokens of an unfinished run."""
        run, self._token_run = self._token_run, None
        if run is None:
            return
        values: dict[str, Any] = {
            "attempt": run.attempt,
            "offset": run.offset,
            "delays": run.delays,
            "lengths": [len(text) for text in run.texts],
            **self._encoder.encode_text("".join(run.texts)),
        }
        decision = {"kind": "deliver", "offset": run.offset, "tokens": len(run.delays)}
        self._append(run.start, EventName.TOKEN_RUN, values, [decision])

    def take_lines(self) -> str:
        """Returns the events recorded since the last call, for the partner's copy.

        Returns:
            JSON lines; empty if nothing was recorded.
        """
        self.flush()
        lines, self._lines = self._lines, []
        return b"".join(lines).decode()

    def _extend_token_run(self, now: float, attempt: int, offset: int, text: str) -> None:
        run = self._token_run
        if run is None or run.attempt != attempt:
            self.flush()
            run = self._token_run = TokenRun(attempt, offset, now)
        run.add(now, text)
        if len(run.delays) >= MAX_RUN_TOKENS:
            self.flush()

    def _record(
        self, now: float, name: str, values: dict[str, Any], decisions: list[Decision]
    ) -> list[Decision]:
        self.flush()
        self._append(now, name, values, [self._encoder.encode_decision(d) for d in decisions])
        return decisions

    def _append(
        self, now: float, name: str, values: dict[str, Any], decisions: list[dict[str, Any]]
    ) -> None:
        self._sequence += 1
        event = RequestEvent(
            sequence=self._sequence,
            time=now,
            instance=self._log.instance,
            recording=self._recording,
            request_id=self._machine.request.request_id,
            name=name,
            input=values,
            decisions=decisions,
        )
        self._lines.append(self._log.append(event))
