"""Tests of recorded events and their replay."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphireledge.core.answer import AttemptFailureCause, GenerationRequest, StoredPrefix
from sapphireledge.core.replay import (
    EventLog,
    EventName,
    RecordingMachine,
    RequestEvent,
    decode_events,
    replay_request,
)
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.settings import ResumeSettings

CFG = ResumeSettings()
CALLS = (
    "token",
    "token",
    "token",
    "token",
    "chunk",
    "accept",
    "jump",
    "tick",
    "probe",
    "broken",
    "finish",
)
SECRET_TEXT = "Aroha Ngata, hearing at ten"


def record(tokens: int, **kwargs) -> tuple[RecordingMachine, EventLog]:
    log = EventLog("a.1", 1 << 20)
    machine = RecordingMachine(GenerationRequest("r", "m"), CFG, log, now=0.0, **kwargs)
    machine.start(0.0)
    machine.on_dispatched(0.1, 1, "e1", "v1")
    for i in range(tokens):
        machine.on_token(0.2 + i * 0.03, 1, i, SECRET_TEXT)
    return machine, log


def event(sequence: int, size: int = 100) -> RequestEvent:
    return RequestEvent(sequence, float(sequence), "a.1", 1, "r", "note", {"x": "y" * size})


class ReplayTest(unittest.TestCase):
    """Guards against a replay that hides differences or needs the text of callers."""

    @settings(max_examples=200)
    @given(st.lists(st.tuples(st.sampled_from(CALLS), st.floats(0, 2.5)), max_size=60))
    def test_any_recording_is_replayed_exactly(self, calls):
        machine, log = record(0)
        now = 0.1
        for call, dt in calls:
            now += dt / 7 if call in ("token", "chunk") else dt
            attempt, offset = machine.attempt, machine.offset
            match call:
                case "token":
                    machine.on_token(now, attempt, offset, "t")
                case "chunk":
                    for k in range(3):
                        machine.on_token(now + k / 10_000, attempt, offset + k, "t")
                case "accept":
                    machine.on_accepted(now, attempt, "1" if dt < 2.0 else "2")
                case "jump":
                    machine.on_token(now, attempt, offset + int(dt), "t")
                case "tick":
                    machine.on_tick(machine.deadline or now)
                case "probe":
                    machine.on_probe(now, attempt, dt > 1, dt > 2)
                case "broken":
                    machine.on_broken(now, attempt, AttemptFailureCause.CLOSED)
                case "finish":
                    machine.on_finished(now, attempt, offset + int(dt), "stop")
            if dt > 0.4:
                machine.on_dispatched(now, machine.attempt, f"e{int(dt * 10) % 3}", "v1")
        lines = machine.take_lines()
        report = replay_request(decode_events(lines))
        self.assertTrue(report.exact, report)
        self.assertEqual(log.read("r"), decode_events(lines))

    def test_every_changed_decision_and_input_is_reported(self):
        machine, log = record(20)
        machine.on_tick(9.0)
        machine.on_probe(9.1, 1, False, False)
        events = list(log.read("r"))
        self.assertTrue(replay_request(events).exact)
        run = next(i for i, e in enumerate(events) if e.name == EventName.TOKEN_RUN)
        for changed in (
            {"input": {**events[run].input, "offset": 1}},
            {"decisions": []},
        ):
            report = replay_request([*events[:run], replace(events[run], **changed)])
            self.assertEqual(len(report.differences), 1, changed)
        late = replace(events[-2], time=0.9)
        self.assertEqual(len(replay_request([*events[:-2], late, events[-1]]).differences), 2)

    def test_missing_events_are_reported_as_a_gap_but_duplicates_are_not(self):
        _, log = record(2)
        events = log.read("r")
        self.assertTrue(replay_request((*reversed(events), *events)).exact)
        report = replay_request(events[:1] + events[2:])
        self.assertEqual([(gap.after, gap.before) for gap in report.gaps], [(1, 3)])
        self.assertEqual((report.exact, report.skipped), (False, len(events) - 2))
        self.assertEqual(replay_request(events[1:]).replayed, 0)

    def test_text_is_recorded_only_if_enabled(self):
        for keep in (False, True):
            machine, log = record(3, record_text=keep, hash_key="k")
            machine.on_token(1.0, 7, 9, SECRET_TEXT)
            prefix = StoredPrefix(1, SECRET_TEXT)
            request = GenerationRequest("r", "m", "v", prefix, 2)
            RecordingMachine(request, CFG, log, now=2.0, record_text=keep, hash_key="k")
            segment = log.take_segment(1 << 20)
            self.assertEqual(SECRET_TEXT.encode() in segment.lines, keep)
            self.assertTrue(replay_request(log.read("r")).exact)

    def test_takeover_refusal_and_notes_are_replayed_together(self):
        machine, log = record(3)
        machine.note(0.5, "partner_changed", {"partner": "b"})
        machine.on_superseded(1.0, "b")
        machine.on_token(1.1, 1, 3, "late")
        other = EventLog("b.1", 1 << 20)
        request = GenerationRequest("r", "m", "v1", StoredPrefix(3, "abc"), 2)
        second = RecordingMachine(request, CFG, other, now=5.0)
        second.start(5.0)
        second.on_no_backend(5.1, Failure(ErrorKind.NO_BACKEND, "none", retry_after=1.5))
        second.on_caller_gone(5.2)
        report = replay_request(other.read("r") + log.read("r"))
        self.assertTrue(report.exact, report)


class EventLogTest(unittest.TestCase):
    """Guards against unbounded memory and against unreported losses of events."""

    def test_oldest_events_are_dropped_and_their_number_is_recorded(self):
        log = EventLog("a.1", 2_000)
        for sequence in range(1, 21):
            log.append(event(sequence))
            self.assertLessEqual(log.size, 2_000)
        gap, *kept = log.read("r")
        self.assertEqual(gap.name, EventName.DROPPED)
        self.assertEqual(gap.input["events"], 20 - len(kept))
        self.assertEqual(log.dropped, 20 - len(kept))
        self.assertEqual([e.sequence for e in kept], list(range(21 - len(kept), 21)))
        segment = log.take_segment(1 << 20)
        self.assertEqual(decode_events(segment.lines), (gap, *kept))
        self.assertIsNone(log.take_segment(1 << 20))

    def test_taken_events_stay_readable_and_are_not_counted_when_dropped(self):
        log = EventLog("a.1", 2_500)
        for sequence in range(1, 6):
            log.append(event(sequence))
        self.assertEqual(log.take_segment(1 << 20).events, 5)
        self.assertEqual(len(log.read("r")), 5)
        for sequence in range(6, 11):
            log.append(event(sequence))
        self.assertEqual(log.dropped, 0)
        segment = log.take_segment(1 << 20)
        self.assertEqual(segment.number, 2)
        self.assertEqual([e.sequence for e in decode_events(segment.lines)], [6, 7, 8, 9, 10])

    def test_segments_are_limited_in_size(self):
        log = EventLog("a.1", 1 << 20)
        for sequence in range(1, 11):
            log.append(event(sequence))
        sizes = []
        while segment := log.take_segment(600):
            sizes.append(segment.events)
            self.assertLessEqual(len(segment.lines), 600)
        self.assertEqual(sum(sizes), 10)
        log.append(event(11, size=5_000))
        self.assertEqual(log.take_segment(600).events, 1)

    def test_event_larger_than_the_limit_is_counted_as_dropped(self):
        log = EventLog("a.1", 500)
        log.append(event(1, size=5_000))
        self.assertEqual((log.size, log.dropped), (0, 1))
