"""Replay of recorded inputs through the generation machine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sapphireledge.core.answer import (
    AttemptFailureCause,
    Deliver,
    GenerationMachine,
    GenerationRequest,
    StoredPrefix,
)
from sapphireledge.core.replay._event_encoder import EventEncoder, strip_text
from sapphireledge.core.replay.event_name import EventName
from sapphireledge.core.replay.replay_difference import ReplayDifference
from sapphireledge.core.replay.replay_gap import ReplayGap
from sapphireledge.core.replay.replay_report import ReplayReport
from sapphireledge.core.replay.token_run import TICKS_PER_SECOND
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.settings import ResumeSettings

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sapphireledge.core.answer import Decision
    from sapphireledge.core.replay.request_event import RequestEvent

__all__ = ["replay_request"]

_REPLAYED_NAMES = frozenset(EventName)
_ENCODER = EventEncoder(keep_text=False, key="")


def replay_request(events: Iterable[RequestEvent]) -> ReplayReport:
    """Replays the recorded inputs of one request through the current code.

    Args:
        events: Events of the request from one or more instances in any order. The same event may
            occur more than once, from the log of its instance and from a copy. Notes of the I/O
            layer are skipped.

    Returns:
        All differences and gaps.
    """
    recorded = {
        (event.instance, event.recording, event.sequence): event
        for event in events
        if event.recording
    }
    replays: dict[tuple[str, int], _RecordingReplay] = {}
    for instance, recording, sequence in sorted(recorded):
        replay = replays.setdefault((instance, recording), _RecordingReplay())
        replay.replay_event(recorded[instance, recording, sequence])
    return ReplayReport(
        replayed=sum(replay.replayed for replay in replays.values()),
        skipped=sum(replay.skipped for replay in replays.values()),
        differences=tuple(d for replay in replays.values() for d in replay.differences),
        gaps=tuple(gap for replay in replays.values() for gap in replay.gaps),
    )


class _RecordingReplay:
    """Replays the events of one recording."""

    def __init__(self) -> None:
        self.replayed = 0
        self.skipped = 0
        self.differences: list[ReplayDifference] = []
        self.gaps: list[ReplayGap] = []
        self._machine: GenerationMachine | None = None
        self._sequence = 0

    def replay_event(self, event: RequestEvent) -> None:
        """Replays one event; a note is only checked for its sequence number."""
        if event.sequence != self._sequence + 1:
            gap = ReplayGap(event.instance, event.recording, self._sequence, event.sequence)
            self.gaps.append(gap)
            self._machine = None
        elif event.name == EventName.CREATED:
            self._machine = _build_machine(event.input)
        self._sequence = event.sequence
        if event.name not in _REPLAYED_NAMES:
            return
        if self._machine is None:
            self.skipped += 1
            return
        self.replayed += 1
        self._compare(event, _replay_event(self._machine, event))

    def _compare(self, event: RequestEvent, replayed: list[dict[str, Any]]) -> None:
        if strip_text(replayed) == strip_text(event.decisions):
            return
        kinds = [decision["kind"] for decision in event.decisions]
        new_kinds = [decision["kind"] for decision in replayed]
        reason = f"recorded {kinds}, replayed {new_kinds}"
        if kinds == new_kinds:
            reason = f"same kinds {kinds} with different values"
        self.differences.append(ReplayDifference(event, replayed, reason))


def _build_machine(values: dict[str, Any]) -> GenerationMachine:
    prefix = values["prefix"]
    request = GenerationRequest(
        request_id=values["request_id"],
        model=values["model"],
        version=values["version"],
        software=values.get("software"),
        prefix=StoredPrefix(prefix["offset"], _text_or_placeholder(prefix)),
        epoch=values["epoch"],
    )
    return GenerationMachine(request, ResumeSettings(**values["settings"]))


def _text_or_placeholder(values: dict[str, Any]) -> str:
    """Returns the recorded text, or a placeholder of the same length."""
    return values.get("text", "x" * values["characters"])


def _replay_event(machine: GenerationMachine, event: RequestEvent) -> list[dict[str, Any]]:
    if event.name == EventName.TOKEN_RUN:
        return _replay_token_run(machine, event)
    decisions = _apply_event(machine, event.name, event.time, event.input)
    return [_ENCODER.encode_decision(decision) for decision in decisions]


def _replay_token_run(machine: GenerationMachine, event: RequestEvent) -> list[dict[str, Any]]:
    """Replays the tokens of a run and encodes the result like the recorded decision."""
    values = event.input
    ticks = round(event.time * TICKS_PER_SECOND)
    offset = values["offset"]
    unexpected: list[dict[str, Any]] = []
    for delay, length in zip(values["delays"], values["lengths"], strict=True):
        ticks += delay
        now = ticks / TICKS_PER_SECOND
        decisions = machine.on_token(now, values["attempt"], offset, "x" * length)
        if len(decisions) != 1 or type(decisions[0]) is not Deliver:
            unexpected += [_ENCODER.encode_decision(decision) for decision in decisions]
        offset += 1
    if unexpected:
        return unexpected
    return [{"kind": "deliver", "offset": values["offset"], "tokens": offset - values["offset"]}]


def _apply_event(
    machine: GenerationMachine, name: str, now: float, values: dict[str, Any]
) -> list[Decision]:
    match name:
        case EventName.CREATED:
            return []
        case EventName.STARTED:
            return machine.start(now)
        case EventName.DISPATCHED:
            return machine.on_dispatched(now, **values)
        case EventName.ACCEPTED:
            return machine.on_accepted(now, **values)
        case EventName.TOKEN:
            return machine.on_token(
                now, values["attempt"], values["offset"], _text_or_placeholder(values)
            )
        case EventName.FINISHED:
            return machine.on_finished(now, **values)
        case EventName.BROKEN:
            return machine.on_broken(now, values["attempt"], AttemptFailureCause(values["cause"]))
        case EventName.TICK:
            return machine.on_tick(now)
        case EventName.PROBED:
            return machine.on_probe(now, **values)
        case EventName.NO_BACKEND:
            return machine.on_no_backend(now, _decode_failure(values["failure"]))
        case EventName.CALLER_GONE:
            return machine.on_caller_gone(now)
        case EventName.SUPERSEDED:
            return machine.on_superseded(now, **values)
    raise ValueError(f"cannot replay event {name}")


def _decode_failure(values: dict[str, Any]) -> Failure:
    kind = ErrorKind(values["kind"])
    return Failure(kind, values["reason"], Ran(values["ran"]), values["retry_after"])
