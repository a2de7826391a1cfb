"""Tests of the replication of running answers to a partner."""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from test_peers import FakePeerHandler, FleetTestCase, setUpModule  # noqa: F401

from sapphireledge.core.membership import Member
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.peers import AnswerCopies, AppendResult, CopyOutcome
from sapphireledge.settings import PeerSettings


class FakeLink:
    """Fake link whose calls follow a script of actions and succeed once it is exhausted."""

    def __init__(self, script: list[str]):
        self.handler = FakePeerHandler()
        self.script = script
        self.reachable = True
        self.sent: list[list] = []
        self.max_stored = 0

    def submit(self, method, appends, timeout):
        self.sent.append(appends)
        future = asyncio.get_running_loop().create_future()
        action = self.script.pop(0) if self.script else "store"
        if action == "forget":
            self.handler.answers.clear()
        results = (
            [self.handler.store_append(append) for append in appends] if action != "lose" else []
        )
        self.max_stored = max([self.max_stored, *(result.stored for result in results)])
        if action == "fail":
            results = Failure(ErrorKind.INTERNAL, "connection broke after the call")
        if action == "take over":
            results = [AppendResult(a.request_id, 0, a.epoch + 1) for a in appends]
        if action != "lose":
            delay = 0.03 if action == "slow" else 0.001
            asyncio.get_running_loop().call_later(delay, _set_result, future, results)
        return future


def _set_result(future, results):
    if not future.done():
        future.set_result(results)


class FakeLinks:
    """Live entries of one data centre, with a scripted link to each."""

    def __init__(self, *scripts: list[str]):
        self.links = {f"a{n}": FakeLink(list(script)) for n, script in enumerate(scripts, 1)}
        self.local_member = Member("a0", "a", "r", "")
        self.live = tuple(Member(name, "a", "r", "") for name in ("a0", *self.links))

    def link(self, name):
        return self.links.get(name)


CFG = PeerSettings(copy_interval=0.005, copy_timeout=0.05)
actions = st.lists(
    st.sampled_from(["store", "store", "slow", "fail", "lose", "forget"]), max_size=12
)


class AnswerCopiesPropertyTest(unittest.TestCase):
    """Guards against tokens that count as stored but were never stored by a partner."""

    @settings(max_examples=60)
    @given(st.lists(actions, min_size=1, max_size=3), st.lists(st.integers(0, 3), max_size=25))
    def test_stored_tokens_are_at_a_partner_and_no_token_waits_too_long(self, scripts, sizes):
        asyncio.run(self.generate(FakeLinks(*scripts), sizes))

    async def generate(self, links: FakeLinks, sizes: list[int]):
        copies = AnswerCopies(CFG, links, time.monotonic)
        copies.start()
        await asyncio.sleep(0)
        answer = copies.open("r", 1, "{}")
        # Tokens appended while a call is in flight must not count as stored by that call.
        engine = asyncio.create_task(self.append_periodically(answer))
        for count in sizes:
            started = time.monotonic()
            offset = answer.append(started, self.next_pieces(answer, count))
            outcome = await answer.wait_stored(offset)
            self.assertLess(time.monotonic() - started, CFG.copy_timeout + 0.1)
            stored_answers = [link.handler.answers for link in links.links.values()]
            holders = [answers.get("r", (0, "", [], ""))[2] for answers in stored_answers]
            if outcome is CopyOutcome.STORED and offset > 0:
                # A partner may lose the tokens afterwards, but must have stored them once.
                self.assertGreaterEqual(
                    max(link.max_stored for link in links.links.values()), offset
                )
            for stored_pieces in holders:
                self.assertEqual(stored_pieces, answer.pieces[: len(stored_pieces)])
        engine.cancel()
        answer.finish(time.monotonic(), "stop")
        await copies.stop()

    async def append_periodically(self, answer):
        while True:
            await asyncio.sleep(0.0007)
            answer.append(time.monotonic(), self.next_pieces(answer, 1))

    def next_pieces(self, answer, count: int) -> list[str]:
        return [f"t{len(answer.pieces) + n} " for n in range(count)]


class AnswerCopiesTest(FleetTestCase):
    """Guards against lost copies and blocked callers when a partner fails, leaves or takes over."""

    async def open(self, *names: str, copy_timeout: float | None = None):
        """Starts entries and opens an answer on the first, with 3 tokens stored by its partner."""
        entries = await self.start(*names)
        self.owner = entries[0]
        for entry in entries[1:]:
            await self.wait_connected(self.owner, entry.name)
            await self.wait_until(lambda n=entry: self.owner.mesh.is_reachable(n.name))
        await self.wait_until(lambda: len(self.owner.live) == len(entries))
        cfg = self.owner.cfg.peers
        cfg = replace(cfg, copy_timeout=cfg.copy_timeout if copy_timeout is None else copy_timeout)
        self.copies = AnswerCopies(cfg, self.owner.mesh, time.monotonic)
        self.copies.start()
        self.addAsyncCleanup(self.copies.stop)
        await self.wait_until(lambda: self.copies.partner is not None)
        self.answer = self.copies.open("r", 1, '{"model": "m"}')
        # On a busy machine the first tokens can be released before the partner has stored them.
        await self.deliver(3)
        await self.wait_until(lambda: self.answer.protected and self.has_partner_stored(3))

    def has_partner_stored(self, count: int) -> bool:
        partner = self.copies.partner
        return partner is not None and self.stored_at(partner.name) == count

    async def deliver(self, count: int = 1) -> CopyOutcome:
        """Appends tokens as a session does and returns their outcome."""
        offset = self.answer.append(time.monotonic(), ["token "] * count)
        return await self.answer.wait_stored(offset)

    def stored_at(self, name: str) -> int:
        return len(self.fleet[name].handler.answers.get("r", (0, "", [], ""))[2])

    async def test_hung_partner_is_replaced_and_its_successor_gets_all_tokens(self):
        await self.open("a1", "a2", "a3")
        first = self.copies.partner.name
        self.fleet[first].handler.append_delay = 30.0
        started = time.monotonic()
        self.assertEqual(await self.deliver(), CopyOutcome.UNPROTECTED)
        self.assertLess(time.monotonic() - started, 0.25)
        await self.wait_until(lambda: self.copies.partner.name != first, 0.5)
        second = self.copies.partner.name
        await self.wait_until(lambda: self.answer.protected, 1.0)
        self.assertEqual(await self.deliver(), CopyOutcome.STORED)
        self.assertEqual(self.stored_at(second), 5)
        self.assertEqual(self.fleet[second].handler.answers["r"][1], '{"model": "m"}')

    async def deliver_in_time(self):
        """Delivers within the configured timeout, in turns of the event loop that may be late."""
        delivery = asyncio.create_task(self.deliver())
        for _ in range(round(self.owner.cfg.peers.copy_timeout / 0.01)):
            if delivery.done():
                break
            await asyncio.sleep(0.01)
        self.assertTrue(delivery.done())
        return await delivery

    async def test_dead_partner_is_replaced(self):
        # The entries share this process: if it is late, no partner stores a token within 0.1 s.
        await self.open("a1", "a2", "a3", copy_timeout=2.0)
        first = self.copies.partner.name
        await self.fleet[first].stop()
        await self.deliver_in_time()
        await self.wait_until(
            lambda: self.answer.protected and self.copies.partner.name != first, 2.0
        )
        self.assertEqual(await self.deliver_in_time(), CopyOutcome.STORED)
        self.assertEqual(self.stored_at(self.copies.partner.name), 5)

    async def test_newer_epoch_stops_the_owner(self):
        await self.open("a1", "a2")
        handler = self.fleet["a2"].handler
        handler.answers["r"] = (2, *handler.answers["r"][1:])
        self.assertEqual(await self.deliver(), CopyOutcome.SUPERSEDED)
        self.assertEqual(self.answer.newer_epoch, 2)
        appends = handler.append_calls
        self.assertEqual(await self.deliver(), CopyOutcome.SUPERSEDED)
        await asyncio.sleep(0.1)
        self.assertEqual((handler.append_calls, self.stored_at("a2")), (appends, 3))

    async def test_answer_is_resent_to_a_partner_that_lost_it(self):
        await self.open("a1", "a2")
        self.fleet["a2"].handler.answers.clear()
        self.assertEqual(await self.deliver(), CopyOutcome.UNPROTECTED)
        await self.wait_until(lambda: self.answer.protected, 1.0)
        self.assertEqual(self.stored_at("a2"), 4)

    async def test_leaving_partner_is_replaced_without_unprotected_tokens(self):
        await self.open("a1", "a2", "a3")
        first = self.copies.partner.name
        entry = self.fleet[first]
        entry.local = replace(entry.local, state="draining")
        outcomes = set()
        end = time.monotonic() + 3.0
        while self.copies.partner.name == first or len(self.copies._streams) > 1:
            outcomes.add(await self.deliver())
            self.assertLess(time.monotonic(), end)
        self.assertEqual(outcomes, {CopyOutcome.STORED})
        self.assertEqual(await self.deliver(), CopyOutcome.STORED)
        self.assertEqual(self.stored_at(self.copies.partner.name), len(self.answer.pieces))

    async def test_finish_reaches_the_partner_and_ends_the_copy(self):
        await self.open("a1", "a2")
        self.answer.finish(time.monotonic(), "stop")
        await self.wait_until(lambda: self.copies.running == 0)
        self.assertEqual(self.fleet["a2"].handler.answers["r"][3], "stop")

    async def test_single_entry_delivers_unprotected_at_once(self):
        (self.owner,) = await self.start("a1")
        copies = AnswerCopies(self.owner.cfg.peers, self.owner.mesh, time.monotonic)
        self.answer = copies.open("r", 1, "{}")
        self.assertEqual(await self.deliver(), CopyOutcome.UNPROTECTED)

    async def test_last_token_is_released_when_the_only_partner_fails(self):
        copies = AnswerCopies(CFG, FakeLinks(["fail"]), time.monotonic)
        copies.start()
        self.addAsyncCleanup(copies.stop)
        await asyncio.sleep(0)
        answer = copies.open("r", 1, "{}")
        offset = answer.append(time.monotonic(), ["t"])
        async with asyncio.timeout(0.5):
            self.assertEqual(await answer.wait_stored(offset), CopyOutcome.UNPROTECTED)

    async def test_unencodable_answer_does_not_affect_other_answers(self):
        await self.open("a1", "a2")
        other = self.copies.open("other", 1, "{}")
        other.append(time.monotonic(), ["\ud800"])
        self.assertEqual(await other.wait_stored(1), CopyOutcome.UNPROTECTED)
        self.copies.open("huge", 1, "x" * 5_000_000).append(time.monotonic(), ["t"])
        self.assertEqual(await self.deliver(), CopyOutcome.STORED)

    async def test_backlog_is_sent_oldest_first_in_bounded_calls(self):
        links = FakeLinks([], [])
        copies = AnswerCopies(CFG, links, time.monotonic)
        copies.start()
        self.addAsyncCleanup(copies.stop)
        await asyncio.sleep(0)
        first = copies.partner.name
        links.links[first].script = ["lose"]
        answers = [copies.open(f"r{n}", 1, "{}") for n in range(6)]
        for answer in answers:
            answer.append(time.monotonic(), ["t"] * 900)
        await self.wait_until(lambda: copies.partner is not None and copies.partner.name != first)
        await self.wait_until(lambda: all(answer.protected for answer in answers))
        calls = links.links[copies.partner.name].sent
        self.assertLessEqual(max(sum(len(a.pieces) for a in call) for call in calls), 2_000)
        order = [append.request_id for call in calls for append in call if append.header]
        self.assertEqual(order, [answer.request_id for answer in answers])


del FleetTestCase
