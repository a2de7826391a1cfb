"""Tests of the copies of answers: the holder's table and the owner's commit window."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sapphireledge.core.answer import (
    NO_ROOM,
    AnswerEnd,
    AppendOutcome,
    ChangePartner,
    CommitWindow,
    CopyAppend,
    CopyLocation,
    OwnershipTable,
    Release,
    StopDelivery,
    choose_copy,
)
from sapphireledge.errors import ErrorKind, Failure, Ran

MAX_BYTES = 20_000
small = st.integers(0, 6)


class Owner:
    """An entry that generates a distinct continuation and may be paused for any length of time."""

    def __init__(self, name: str, epoch: int, pieces: tuple[str, ...], tag: str = "") -> None:
        self.name = name
        self.epoch = epoch
        self.pieces = pieces
        self.tag = tag
        self.sent = len(pieces)


class OwnershipModel(RuleBasedStateMachine):
    """Owners that do not communicate append and take over in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.table = OwnershipTable(retention=60, max_bytes=MAX_BYTES)
        self.owners = [Owner("o0", 1, ())]
        self.granted: dict[int, str] = {1: "o0"}
        self.contested: set[int] = set()
        self.last_pieces: dict[int, tuple[str, ...]] = {}

    @rule(i=small, tokens=small, back=small, skip=st.booleans(), finish=st.booleans())
    def append(self, i, tokens, back, skip, finish):
        if not self.owners:
            return
        owner = self.owners[-1 - i % len(self.owners)]
        length = len(owner.pieces)
        tag = owner.name + owner.tag
        owner.pieces += tuple(f"{tag}.{length + k}" for k in range(tokens))
        known = self.table.locate("r")
        offset = owner.sent + 1 if skip and back == 6 else max(0, owner.sent - back)
        offset = min(offset, len(owner.pieces)) if known and owner.sent else 0
        end = "stop" if finish and tokens == 1 and back == 2 else ""
        message = CopyAppend("r", owner.epoch, offset, owner.pieces[offset:], "{}", end)
        outcome = self.table.append(self.now, owner.name, message)
        if outcome.stored == NO_ROOM:
            return
        if outcome.epoch > owner.epoch:
            assert self.table.locate("r") == known, "rejected append had an effect"
            newer = not known or owner.epoch < known.epoch
            assert newer or owner.epoch in self.contested, "rightful owner rejected"
            self.owners.remove(owner)
            return
        if known is None and not outcome.header_missing:
            self.granted[owner.epoch] = owner.name
        assert self.granted[owner.epoch] == owner.name, "append without ownership"
        owner.sent = min(outcome.stored, len(owner.pieces))
        stored = self.table.read("r", 0).pieces if not outcome.header_missing else ()
        assert (
            stored[: owner.sent] == owner.pieces[: owner.sent]
        ), "copy contains tokens of several owners"
        if end:
            self.owners.remove(owner)

    @rule(i=small, same_name=st.booleans())
    def add_rival(self, i, same_name):
        """Starts the request at a second or a restarted entry under an epoch that is in use."""
        if self.owners:
            owner = self.owners[i % len(self.owners)]
            name = owner.name if same_name else f"x{len(self.owners)}"
            self.contested.add(owner.epoch)
            self.owners.append(Owner(name, owner.epoch, (), tag="!"))

    @rule(i=small, behind=st.sampled_from((0, 0, 0, 1)))
    def take_over(self, i, behind):
        """Lets a new entry, or the owner of an earlier epoch, take over."""
        known = self.table.locate("r")
        if known is None:
            return
        name = f"o{len(self.granted) if i % 2 else i // 2}"
        before = self.table.read("r", 0)
        taken = self.table.take_over(self.now, "r", known.epoch - behind, name)
        assert taken.granted == (not behind), "granted to an outdated requester"
        if taken.granted:
            assert taken.epoch not in self.granted, "two owners of one epoch"
            assert taken.pieces == before.pieces and taken.header
            self.granted[taken.epoch] = name
            if not taken.finish:
                self.owners.append(Owner(name, taken.epoch, taken.pieces, f"'{taken.epoch}"))

    @rule(dt=st.sampled_from((1.0, 30.0, 70.0)))
    def pass_time(self, dt):
        self.now += dt
        self.table.expire(self.now)

    @invariant()
    def copy_only_grows_within_an_epoch(self):
        part = self.table.read("r", 0)
        if part is None:
            self.last_pieces.clear()
            return
        before = self.last_pieces.get(part.epoch, ())
        assert part.pieces[: len(before)] == before
        self.last_pieces = {part.epoch: part.pieces}

    @invariant()
    def memory_is_bounded(self):
        assert 0 <= self.table.size <= MAX_BYTES
        assert len(self.table) or not self.table.size


OwnershipModel.TestCase.settings = settings(max_examples=200, stateful_step_count=40)


class OwnershipPropertyTest(OwnershipModel.TestCase):
    """Guards against two owners of one epoch and copies with tokens of both (invariant 2)."""


class OwnershipTableTest(unittest.TestCase):
    """Guards against wrong responses of the holder to single requests."""

    def setUp(self):
        self.table = OwnershipTable(retention=60, max_bytes=MAX_BYTES)
        self.first = CopyAppend("r", 1, 0, ("a", "b"), "{}")
        self.table.append(0, "o", self.first)

    def append(self, sender="o", now=0.0, **changes):
        return self.table.append(now, sender, replace(self.first, header="", **changes))

    def test_repeated_and_overlapping_appends_store_each_token_once(self):
        self.assertEqual(self.append().stored, 2)
        self.assertEqual(self.append(offset=1, pieces=("b", "c")).stored, 3)
        self.assertEqual(self.table.read("r", 1).pieces, ("b", "c"))

    def test_append_after_a_gap_is_rejected_with_the_stored_offset(self):
        outcome = self.append(offset=3, pieces=("d",))
        self.assertEqual((outcome.stored, outcome.epoch, outcome.header_missing), (2, 1, False))

    def test_conflict_is_reported_like_a_newer_epoch(self):
        for change in (
            {"pieces": ("a", "x")},
            {"sender": "p"},
            {"pieces": ("a",), "finish": "stop"},
        ):
            self.assertEqual(self.append(**change).epoch, 2, change)
        self.append(finish="stop")
        self.assertEqual(self.append(finish="length").epoch, 2)
        self.assertEqual(self.append(offset=2, pieces=("c",)).epoch, 2)
        self.assertEqual(self.append(finish="stop").epoch, 1)

    def test_first_append_requires_the_header_and_offset_zero(self):
        for offset, header in ((0, ""), (1, "{}")):
            message = CopyAppend("q", 1, offset, ("a",), header)
            outcome = self.table.append(0, "o", message)
            self.assertEqual((outcome.stored, outcome.header_missing), (0, True))
        self.assertIsNone(self.table.locate("q"))

    def test_owner_that_took_over_elsewhere_replaces_the_copy(self):
        self.assertTrue(self.append("p", epoch=3, offset=2).header_missing)
        self.assertEqual(self.table.locate("r").epoch, 1)
        self.table.append(0, "p", CopyAppend("r", 3, 0, ("x",), "{}"))
        self.assertEqual(self.table.read("r", 0).pieces, ("x",))
        self.assertEqual(self.append().epoch, 3)

    def test_second_takeover_after_the_new_owner_died(self):
        self.assertEqual(self.table.take_over(0, "r", 1, "p").epoch, 2)
        refused = self.table.take_over(0, "r", 1, "q")
        self.assertEqual((refused.granted, refused.owner_instance, refused.epoch), (False, "p", 2))
        self.assertEqual(self.table.take_over(0, "r", 2, "q").epoch, 3)
        self.assertEqual(self.append("p", epoch=2, offset=2, pieces=("c",)).epoch, 3)

    def test_finished_copy_expires_but_its_epoch_is_kept(self):
        self.table.take_over(0, "r", 1, "p")
        self.append("p", epoch=2, finish="stop", now=5)
        self.assertEqual(self.table.expire(64.9), ())
        self.assertEqual(self.table.expire(65), ("r",))
        self.assertEqual(self.table.size, 0)
        self.assertEqual(self.table.append(66, "o", self.first).epoch, 2)
        self.table.expire(700)
        self.assertEqual(self.table.append(700, "o", self.first).stored, 2)

    def test_abandoned_copy_expires(self):
        self.assertEqual(self.table.expire(599), ())
        self.assertEqual(self.table.expire(600), ("r",))

    def test_full_table_drops_finished_copies_first_and_then_rejects(self):
        self.append(finish="stop")
        results = []
        for i in range(20):
            message = CopyAppend(f"q{i}", 1, 0, ("x" * 300,), "{}")
            results.append(self.table.append(1, "o", message).stored)
        self.assertIsNone(self.table.locate("r"))
        self.assertEqual(results[0], 1)
        self.assertEqual(results[-1], NO_ROOM)
        self.assertIsNotNone(self.table.locate("q0"))

    def test_newest_epoch_takes_precedence_over_the_longest_copy(self):
        copies = {"a": CopyLocation("x", 1, 9, False), "b": CopyLocation("y", 2, 3, False)}
        self.assertEqual(choose_copy(copies), "b")
        self.assertIsNone(choose_copy({}))

    def test_answer_end_survives_encoding(self):
        failure = Failure(ErrorKind.VERSION_GONE, "no v1: gone", Ran.YES)
        for end in (AnswerEnd("stop"), AnswerEnd("", failure), AnswerEnd("error:x:y:z")):
            self.assertEqual(AnswerEnd.parse(end.to_finish()), end)


class CommitWindowTest(unittest.TestCase):
    """Guards against early release, release after a takeover, and tokens held back forever."""

    def setUp(self):
        self.window = CommitWindow("r", 1, "{}", 0.1, partner="p")

    def push(self, now: float, count: int = 1):
        start = len(self.window._pieces)
        return [d for k in range(count) for d in self.window.push(now, start + k, f"t{start + k}")]

    def outcome(self, stored: int, epoch: int = 1, missing: bool = False) -> AppendOutcome:
        return AppendOutcome("r", stored, epoch, missing)

    def test_tokens_and_end_wait_for_the_partner_in_order(self):
        self.assertEqual(self.push(0, 2), [])
        append = self.window.next_append()
        self.assertEqual((append.offset, append.pieces, append.header), (0, ("t0", "t1"), "{}"))
        self.assertIsNone(self.window.next_append())
        self.push(0.01)
        self.window.end(0.01, "stop")
        decisions = self.window.on_result(0.02, append, self.outcome(2))
        self.assertEqual(decisions, [Release(0, ("t0", "t1"), True, "")])
        append = self.window.next_append()
        self.assertEqual((append.pieces, append.header, append.finish), (("t2",), "", "stop"))
        decisions = self.window.on_result(0.03, append, self.outcome(3))
        self.assertEqual(decisions, [Release(2, ("t2",), True, "stop")])
        self.assertTrue(self.window.done)
        self.assertIsNone(self.window.deadline)

    def test_unresponsive_partner_delays_the_release_only_once(self):
        self.push(0)
        append = self.window.next_append()
        self.assertEqual(self.window.on_tick(0.09), [])
        release, change = self.window.on_tick(0.1)
        self.assertEqual(release, Release(0, ("t0",), False, ""))
        self.assertIsInstance(change, ChangePartner)
        self.assertEqual(self.push(0.2), [Release(1, ("t1",), False, "")])
        self.assertEqual(self.window.on_result(0.2, append, self.outcome(1)), [])

    def test_new_partner_receives_the_full_answer_and_restores_protection(self):
        self.push(0)
        self.window.on_result(0, self.window.next_append(), self.outcome(1))
        self.push(0)
        self.window.next_append()
        self.window.on_tick(0.1)
        self.assertEqual(self.window.change_partner(0.2, "q"), [])
        append = self.window.next_append()
        self.assertEqual((append.offset, append.pieces, append.header), (0, ("t0", "t1"), "{}"))
        self.assertEqual(self.window.on_result(0.2, append, self.outcome(2)), [])
        self.assertEqual(self.push(0.3), [])

    def test_newer_epoch_stops_delivery_even_from_a_former_partner(self):
        for fault in ("", "change", "timeout"):
            self.setUp()
            self.push(0)
            append = self.window.next_append()
            if fault == "change":
                self.window.change_partner(0, "q")
            if fault == "timeout":
                self.window.on_tick(0.1)
            decisions = self.window.on_result(0, append, self.outcome(0, epoch=2))
            self.assertEqual(decisions, [StopDelivery(2)])
            self.assertEqual(self.push(0), [])
            self.assertEqual(self.window.on_tick(9) + self.window.change_partner(9, ""), [])
            self.assertIsNone(self.window.next_append())

    def test_late_result_does_not_confirm_the_next_append(self):
        self.push(0)
        first = self.window.next_append()
        self.window.on_failed(0, first, "timeout")
        self.window.end(0, "stop")
        second = self.window.next_append()
        self.window.on_result(0, first, self.outcome(1))
        self.assertFalse(self.window.done)
        self.window.on_result(0, second, self.outcome(1))
        self.assertTrue(self.window.done)

    def test_pause_of_the_owner_grants_the_partner_another_timeout(self):
        self.push(0)
        self.window.next_append()
        self.assertEqual(self.window.on_tick(5.0), [])
        self.assertAlmostEqual(self.window.deadline, 5.1)
        self.assertIsInstance(self.window.on_tick(5.2)[0], Release)

    def test_restarted_partner_receives_the_full_answer_again(self):
        self.push(0)
        self.window.on_result(0, self.window.next_append(), self.outcome(1))
        self.push(0)
        decisions = self.window.on_result(0, self.window.next_append(), self.outcome(0, 1, True))
        self.assertEqual(decisions, [])
        again = self.window.next_append()
        self.assertEqual((again.offset, again.pieces, again.header), (0, ("t0", "t1"), "{}"))

    def test_tokens_are_released_unprotected_without_memory_or_partner(self):
        self.push(0)
        append = self.window.next_append()
        decisions = self.window.on_result(0, append, self.outcome(NO_ROOM))
        self.assertEqual([type(d) for d in decisions], [Release, ChangePartner])
        no_partner = CommitWindow("r", 1, "{}", 0.1)
        self.assertEqual(no_partner.push(0, 0, "t"), [Release(0, ("t",), False, "")])
        self.assertEqual(no_partner.end(0, "stop"), [Release(1, (), False, "stop")])
        self.assertTrue(no_partner.done)

    def test_takeover_continues_at_the_offset_of_the_granting_holder(self):
        table = OwnershipTable(60, MAX_BYTES)
        table.append(0, "o", CopyAppend("r", 1, 0, ("a", "b"), "{}"))
        taken = table.take_over(0, "r", 1, "p")
        window = CommitWindow(
            "r", taken.epoch, taken.header, 0.1, pieces=taken.pieces, partner="h", stored=2
        )
        window.push(0, 2, "c")
        append = window.next_append()
        self.assertEqual((append.offset, append.pieces), (2, ("c",)))
        decisions = window.on_result(0, append, table.append(0, "p", append))
        self.assertEqual(decisions, [Release(2, ("c",), True, "")])

    def test_events_of_a_failed_append_are_sent_again(self):
        self.window.add_events("e1\n")
        self.window.on_failed(0, self.window.next_append(), "lost")
        self.window.add_events("e2\n")
        append = self.window.next_append()
        self.assertEqual(append.events, "e1\ne2\n")
        self.window.on_result(0, append, self.outcome(0))
        self.assertIsNone(self.window.next_append())
