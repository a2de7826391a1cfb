"""Tests of the generation machine, the gap detector and the answer digest."""

from __future__ import annotations

import unittest

from sapphireledge.core.answer import (
    AnswerDigest,
    AttemptFailureCause,
    CancelAttempt,
    Complete,
    Deliver,
    Dispatch,
    EventId,
    GapDetector,
    GenerationMachine,
    GenerationRequest,
    Ignore,
    Probe,
    Refuse,
    StoredPrefix,
    verify_position,
    verify_text,
)
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.settings import ResumeSettings

CFG = ResumeSettings()


def running_machine(tokens: int = 0, **kwargs) -> GenerationMachine:
    """Creates a machine on engine e1, version v1; its tokens arrived every 0.1 s, the last at 0."""
    machine = GenerationMachine(GenerationRequest("r", "m", **kwargs), CFG)
    base = machine.offset
    machine.start(-100.0)
    machine.on_dispatched(-tokens / 10, 1, "e1", "v1")
    for i in range(tokens):
        machine.on_token((i + 1 - tokens) / 10, 1, base + i, f"t{i}")
    return machine


class GenerationMachineTest(unittest.TestCase):
    """Guards against wrong reactions to a single fault; test_answer_properties combines faults."""

    def test_late_and_duplicate_output_is_ignored(self):
        machine = running_machine(3)
        self.assertIsInstance(machine.on_token(0, 1, 2, "again")[0], Ignore)
        machine.on_broken(0, 1, AttemptFailureCause.CLOSED)
        self.assertIsInstance(machine.on_token(0, 1, 3, "late")[0], Ignore)
        self.assertIsInstance(machine.on_finished(0, 1, 3, "stop")[0], Ignore)
        machine.on_dispatched(0, 2, "e2", "v1")
        self.assertIsInstance(machine.on_token(0, 1, 3, "late")[0], Ignore)
        self.assertIsInstance(machine.on_finished(0, 1, 3, "stop")[0], Ignore)
        self.assertEqual(machine.on_token(0, 2, 3, "new"), [Deliver(3, "new")])
        self.assertEqual(machine.text, "t0t1t2new")

    def test_broken_connection_resumes_elsewhere_on_the_same_version(self):
        decisions = running_machine(3).on_broken(0, 1, AttemptFailureCause.CLOSED)
        self.assertEqual(decisions[0], CancelAttempt(1, "e1"))
        self.assertEqual(decisions[1], Dispatch(2, 3, "", ("e1",), "v1"))

    def test_answer_stays_at_the_software_version_of_its_first_token(self):
        machine = running_machine()
        machine.on_accepted(0, 1, "1")
        self.assertEqual(machine.on_broken(0, 1, AttemptFailureCause.CLOSED)[-1].software, "")
        machine.on_dispatched(0, 2, "e2", "v1")
        machine.on_accepted(0, 2, "2")
        machine.on_token(0, 2, 0, "t")
        self.assertEqual(machine.on_broken(0, 2, AttemptFailureCause.CLOSED)[-1].software, "2")
        for engine, software in ((3, "1"), (4, "")):
            machine.on_dispatched(0, engine, f"e{engine}", "v1")
            decisions = machine.on_accepted(0, engine, software)
            self.assertEqual(decisions[0], CancelAttempt(engine, f"e{engine}"))
            self.assertEqual((decisions[-1].attempt, decisions[-1].software), (engine + 1, "2"))
        machine.on_dispatched(0, 5, "e5", "v1")
        self.assertEqual(machine.on_accepted(0, 5, "2"), [])
        self.assertEqual(machine.on_token(0, 5, 1, "u"), [Deliver(1, "u")])

    def test_prefix_of_unknown_software_is_continued_only_without_a_named_version(self):
        machine = running_machine(prefix=StoredPrefix(3, "abc"))
        self.assertIsInstance(machine.on_accepted(0, 1, "1")[-1], Dispatch)
        self.assertIsNone(machine.software)
        machine.on_dispatched(0, 2, "e2", "v1")
        self.assertEqual(machine.on_accepted(0, 2, ""), [])

    def test_offset_jump_and_short_finish_resume_at_the_next_offset(self):
        for decisions in (
            running_machine(3).on_token(0, 1, 5, "x"),
            running_machine(3).on_finished(0, 1, 4, "s"),
        ):
            self.assertEqual(decisions[-1], Dispatch(2, 3, "e1", (), "v1"))
        self.assertEqual(running_machine(3).on_finished(0, 1, 2, "s")[-1].avoid, ("e1",))
        self.assertEqual(running_machine(3).on_finished(0, 1, 3, "stop"), [Complete(3, "stop")])

    def test_output_of_an_engine_that_restarts_from_zero_is_rejected(self):
        machine = running_machine(3)
        machine.on_broken(0, 1, AttemptFailureCause.CLOSED)
        machine.on_dispatched(0, 2, "e2", "v1")
        self.assertEqual(
            machine.on_token(0, 2, 0, "other")[-1], Dispatch(3, 3, "", ("e1", "e2"), "v1")
        )

    def test_silent_attempt_is_probed_and_resumed_on_the_live_engine_first(self):
        machine = running_machine(20)
        self.assertEqual(machine.on_tick(0.4), [])
        self.assertEqual(machine.on_tick(CFG.gap_ceiling), [Probe(1, "e1")])
        self.assertEqual(machine.on_probe(1.6, 1, True, True)[-1], Dispatch(2, 20, "e1", (), "v1"))
        machine.on_dispatched(1.6, 2, "e1", "v1")
        machine.on_tick(1.6 + CFG.gap_ceiling)
        second = machine.on_probe(3.2, 2, True, True)
        self.assertEqual(second[-1], Dispatch(3, 20, "", ("e1",), "v1"))

    def test_last_attempt_is_not_given_up_while_its_engine_runs_it(self):
        """Guards against refusing a preempted generation for its silence."""
        machine = running_machine(3)
        for attempt in range(1, CFG.max_attempts):
            machine.on_broken(0, attempt, AttemptFailureCause.CLOSED)
            machine.on_dispatched(0, attempt + 1, f"e{attempt + 1}", "v1")
        for _ in range(20):
            now = machine.deadline
            self.assertEqual(machine.on_tick(now), [Probe(CFG.max_attempts, "e8")])
            self.assertEqual(machine.on_probe(now, CFG.max_attempts, True, True), [])
        self.assertLess(machine.deadline - now, CFG.first_token_silence * 10)
        machine.on_tick(machine.deadline)
        self.assertIsInstance(machine.on_probe(now, CFG.max_attempts, False, False)[-1], Refuse)

    def test_probe_timeout_counts_as_engine_failure(self):
        machine = running_machine(20)
        machine.on_tick(2.0)
        self.assertEqual(machine.on_tick(2.2), [])
        self.assertEqual(machine.on_tick(2.0 + CFG.probe_timeout)[-1].avoid, ("e1",))

    def test_token_during_a_probe_cancels_the_probe(self):
        machine = running_machine(20)
        machine.on_tick(2.0)
        self.assertEqual(machine.on_token(2.1, 1, 20, "x"), [Deliver(20, "x")])
        self.assertIsInstance(machine.on_probe(2.2, 1, False, False)[0], Ignore)

    def test_live_engine_gets_more_time_for_the_first_token(self):
        machine = running_machine()
        self.assertEqual(machine.on_tick(CFG.first_token_silence - 0.1), [])
        self.assertIsInstance(machine.on_tick(CFG.first_token_silence)[0], Probe)
        self.assertEqual(machine.on_probe(5.0, 1, True, True), [])
        self.assertEqual(machine.deadline, 5.0 + 2 * CFG.first_token_silence)

    def test_version_gone_reports_the_delivered_tokens(self):
        machine = running_machine(3)
        machine.on_broken(0, 1, AttemptFailureCause.CLOSED)
        (refusal,) = machine.on_no_backend(0, Failure(ErrorKind.NO_BACKEND, "none"))
        self.assertEqual(refusal.failure.kind, ErrorKind.VERSION_GONE)
        self.assertEqual((refusal.failure.ran, refusal.delivered), (Ran.YES, 3))

    def test_refusal_reports_not_run_only_if_no_attempt_can_have_run(self):
        no_backend = Failure(ErrorKind.NO_BACKEND, "none")
        for cause, ran in (
            (AttemptFailureCause.REFUSED, Ran.NO),
            (AttemptFailureCause.CLOSED, Ran.UNKNOWN),
        ):
            machine = running_machine()
            machine.on_broken(0, 1, cause)
            (refusal,) = machine.on_no_backend(0, no_backend)
            self.assertEqual((refusal.failure.kind, refusal.failure.ran), (no_backend.kind, ran))
        machine = GenerationMachine(GenerationRequest("r", "m", epoch=2), CFG)
        machine.start(0)
        self.assertEqual(machine.on_no_backend(0, no_backend)[0].failure.ran, Ran.UNKNOWN)

    def test_other_version_is_never_used_for_a_started_answer(self):
        machine = running_machine(3)
        machine.on_broken(0, 1, AttemptFailureCause.CLOSED)
        self.assertEqual(machine.on_dispatched(0, 2, "e2", "v2")[-1].version, "v1")
        self.assertEqual(machine.attempt, 3)

    def test_attempts_are_limited(self):
        machine = running_machine(3)
        for attempt in range(1, CFG.max_attempts):
            machine.on_broken(0, attempt, AttemptFailureCause.CLOSED)
            machine.on_dispatched(0, attempt + 1, "e", "v1")
        decisions = machine.on_broken(0, CFG.max_attempts, AttemptFailureCause.CLOSED)
        self.assertIsInstance(decisions[-1], Refuse)
        self.assertTrue(machine.ended)

    def test_caller_disconnect_cancels_the_attempt_even_during_a_dispatch(self):
        self.assertEqual(running_machine(3).on_caller_gone(0), [CancelAttempt(1, "e1")])
        machine = running_machine(3)
        machine.on_broken(0, 1, AttemptFailureCause.CLOSED)
        self.assertEqual(machine.on_caller_gone(0), [])
        self.assertEqual(machine.on_dispatched(0, 2, "e2", "v1"), [CancelAttempt(2, "e2")])

    def test_takeover_continues_a_stored_prefix(self):
        prefix = StoredPrefix.from_pieces(("a", "b"))
        machine = running_machine(1, version="v1", prefix=prefix, epoch=2)
        self.assertEqual((machine.text, machine.offset), ("abt0", 3))
        machine.on_token(0, 1, 3, "\r\n")
        self.assertEqual(machine.text, "abt0\r\n")
        self.assertEqual(machine.request.attempt_id(1), "r.2.1")


class GapDetectorTest(unittest.TestCase):
    """Guards against false timeouts on bursty streams and late ones on steady streams."""

    def test_limit_adapts_to_the_stream_between_floor_and_ceiling(self):
        detector = GapDetector(CFG)
        self.assertEqual(detector.limit, CFG.gap_ceiling)
        for _ in range(50):
            detector.observe(0.03)
            detector.observe(0.0)
        self.assertEqual(detector.limit, CFG.gap_floor)
        for i in range(50):
            detector.observe(0.05 + 0.3 * (i % 2))
        self.assertGreater(detector.limit, 0.9)
        self.assertLessEqual(detector.limit, CFG.gap_ceiling)


class AnswerDigestTest(unittest.TestCase):
    """Guards against accepting a position in a different answer."""

    def event_id(
        self, pieces=("a", "b"), secret="s", request="r", version="v", software=""
    ) -> EventId:
        digest = AnswerDigest(secret, request, version, software)
        for piece in pieces:
            digest.update(piece)
        return digest.event_id()

    def test_digest_covers_every_field(self):
        ids = {
            self.event_id(),
            self.event_id(secret="t"),
            self.event_id(request="rv", version=""),
            self.event_id(version="w"),
            self.event_id(pieces=("a", "c")),
            self.event_id(pieces=("ab",)),
            self.event_id(software="1"),
            self.event_id(software="2"),
        }
        self.assertEqual(len({event.digest for event in ids}), 8)

    def test_software_version_in_an_event_id_cannot_be_replaced(self):
        longest = "é" * 24
        for software in ("1", longest):
            event = self.event_id(software=software)
            self.assertEqual(EventId.parse(str(event)), event)
            self.assertEqual(verify_text("s", "r", ("v",), event, "ab").software, software)
            for digest in (event.digest[:24], event.digest[:24] + "32", event.digest + "f"):
                failure = verify_text("s", "r", ("v",), EventId(2, digest), "ab")
                self.assertEqual(failure.kind, ErrorKind.ANSWER_DIVERGED, digest)
        self.assertIsNone(verify_text("s", "r", ("v",), self.event_id(), "ab").software)

    def test_software_version_is_not_taken_for_text(self):
        """Guards against a caller that drops the version and hands its encoding back as text."""
        event = self.event_id(software="X")
        claimed = EventId(event.offset, event.digest[:24])
        text = (1).to_bytes(8, "big").decode() + "Xab"
        failure = verify_text("s", "r", ("v",), claimed, text)
        self.assertEqual(failure.kind, ErrorKind.ANSWER_DIVERGED)

    def test_position_of_another_software_version_is_refused(self):
        named, unnamed, pieces = self.event_id(software="1"), self.event_id(), ("a", "b", "c")
        for event, software in ((named, "1"), (named, None), (unnamed, ""), (unnamed, None)):
            self.assertIsNone(verify_position("s", "r", "v", event, pieces, software))
        for event, software in ((named, "2"), (named, ""), (unnamed, "1")):
            failure = verify_position("s", "r", "v", event, pieces, software)
            self.assertEqual(failure.kind, ErrorKind.ANSWER_DIVERGED)

    def test_event_id_is_parsed_strictly(self):
        event = self.event_id()
        self.assertEqual(EventId.parse(str(event)), event)
        for value in ("", "1", "01.ab", "-1.ab", "1.AB", "1.zz", "1.ab ", "٣.ab", "9" * 30 + ".ab"):
            self.assertIsInstance(EventId.parse(value), Failure, value)

    def test_text_sent_back_by_a_caller_is_verified(self):
        event = self.event_id()
        found = verify_text("s", "r", ("u", "v"), event, "ab")
        self.assertEqual((found.version, found.prefix), ("v", StoredPrefix(2, "ab")))
        for offset, text in ((2, "ax"), (1, "ab"), (2, "abc")):
            failure = verify_text("s", "r", ("v",), EventId(offset, event.digest), text)
            self.assertEqual(failure.kind, ErrorKind.ANSWER_DIVERGED)

    def test_position_is_verified_against_a_copy(self):
        event = self.event_id()
        self.assertIsNone(verify_position("s", "r", "v", event, ("a", "b", "c")))
        diverged = verify_position("s", "r", "v", event, ("a", "x"))
        self.assertEqual(diverged.kind, ErrorKind.ANSWER_DIVERGED)
        self.assertEqual(verify_position("s", "r", "v", event, ("a",)).kind, ErrorKind.ANSWER_LOST)
