"""Two instances that generated an answer under the same request id without knowing each other."""

from __future__ import annotations

import time
import unittest
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from test_peers import make_settings

from sapphireledge.core.answer import AnswerDigest, OwnerClaim
from sapphireledge.core.quarantine import fingerprint_request
from sapphireledge.entry.answer_header import AnswerHeader
from sapphireledge.entry.answer_locator import AnswerLocator, LocatedAnswer
from sapphireledge.entry.caller_request import CallerRequest, ResumePoint
from sapphireledge.entry.copy_store import CopyStore
from sapphireledge.entry.peer_service import PeerService
from sapphireledge.peers import AnswerAppend, AnswerLocation, FoundAnswer, TakeOver

REQUEST = CallerRequest(
    request_id="r",
    workspace="w",
    rank="standard",
    model="m",
    chat=False,
    stream=True,
    prompt="p",
    max_tokens=9,
    body={},
)


class FakeRunner:
    """Answer of this instance."""

    def __init__(self, epoch: int, request: Any = None, pieces: tuple[str, ...] = ()):
        self.answer = SimpleNamespace(epoch=epoch, pieces=pieces)
        self.request = request
        self.has_moved = False

    def mark_moved(self, reason: str) -> None:
        self.has_moved = True


class FakeRegistry:
    """Answers of this instance, which start without an engine."""

    def __init__(self, runners: dict[str, FakeRunner] | None = None):
        self.runners = runners or {}

    def get(self, answer_id: str) -> FakeRunner | None:
        return self.runners.get(answer_id)

    def start(
        self,
        req: CallerRequest,
        trace: Any,
        *,
        epoch: int = 1,
        pieces: tuple[str, ...] = (),
        **_: Any,
    ) -> FakeRunner:
        self.runners[req.answer_id] = runner = FakeRunner(epoch, req, pieces)
        return runner


class FakeQueries:
    """Replies of the other instances."""

    def __init__(self, found: FoundAnswer):
        self.found = found

    async def find_answer(self, answer_id: str, timeout: float) -> FoundAnswer:
        return self.found


def make_append(epoch: int) -> Any:
    return AnswerAppend("r", epoch, 0, ["one"], "{}", "", "")


class ReceivedAppendTest(unittest.IsolatedAsyncioTestCase):
    """Guards against two owners that each store their answer at the other."""

    async def append(self, own_epoch: int, epoch: int, sender: str) -> tuple[Any, FakeRunner, Any]:
        runner = FakeRunner(own_epoch)
        copies = CopyStore(make_settings("b"))
        unused: Any = None
        registry: Any = FakeRegistry({"r": runner})
        service = PeerService("b", registry, copies, unused, unused, unused, unused, unused)
        (result,) = await service.append_answers(sender, [make_append(epoch)])
        return result, runner, copies.locate("r")

    async def test_lower_epoch_is_rejected(self):
        result, runner, copy = await self.append(own_epoch=7, epoch=1, sender="c")
        self.assertEqual((result.epoch, copy, runner.has_moved), (7, None, False))

    async def test_higher_epoch_ends_the_answer_here(self):
        result, runner, copy = await self.append(own_epoch=1, epoch=7, sender="a")
        self.assertEqual((result.epoch, result.stored, runner.has_moved), (7, 1, True))
        self.assertEqual(copy.owner_instance, "a")

    async def test_equal_epochs_keep_exactly_one(self):
        rejected, kept, _ = await self.append(own_epoch=1, epoch=1, sender="a")
        self.assertEqual((rejected.epoch, kept.has_moved), (2, False))
        accepted, ended, _ = await self.append(own_epoch=1, epoch=1, sender="c")
        self.assertEqual((accepted.epoch, ended.has_moved), (1, True))


class StartedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an answer that an unreachable owner outranks or equals."""

    async def locate(self, registry: FakeRegistry, found: FoundAnswer) -> Any:
        copies, queries, mesh = CopyStore(make_settings("b")), FakeQueries(found), None
        locator = AnswerLocator(
            make_settings("b"), registry, copies, mesh, queries, lambda model: ()  # type: ignore
        )
        return await locator.locate(REQUEST, True, None)

    async def test_complete_search_starts_in_the_first_epoch(self):
        located = await self.locate(FakeRegistry(), FoundAnswer("", None, True))
        self.assertEqual((located.source.answer.epoch, located.is_new), (1, True))

    async def test_incomplete_search_starts_above_every_counted_epoch(self):
        before = int(time.time())
        located = await self.locate(FakeRegistry(), FoundAnswer("", None, False))
        self.assertGreaterEqual(located.source.answer.epoch, before)

    async def test_answer_here_yields_to_an_owner_that_outranks_it(self):
        own = FakeRunner(1, REQUEST)
        owner = FoundAnswer("c", AnswerLocation(True, True, "c", 1, 3, False), True)
        located = await self.locate(FakeRegistry({REQUEST.answer_id: own}), owner)
        self.assertEqual((located.source.instance, own.has_moved), ("c", True))

    async def test_answer_here_is_kept_beside_its_own_copy(self):
        own = FakeRunner(1, REQUEST)
        copy = FoundAnswer("c", AnswerLocation(True, False, "b", 1, 3, False), True)
        located = await self.locate(FakeRegistry({REQUEST.answer_id: own}), copy)
        self.assertEqual((located.source, own.has_moved), (own, False))


class StaleCopyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an answer that is lost because a former partner holds its beginning."""

    async def locate(self, own: int, other: int, owner: bool = False) -> Any:
        """Reconnects at token 2 of an answer of which both instances hold some tokens."""
        cfg = make_settings("b")
        pieces = tuple(f"piece {n} " for n in range(4))
        header = AnswerHeader.from_request(REQUEST, "v1").encode()
        copies = CopyStore(cfg)
        copies.append("a", [AnswerAppend(REQUEST.answer_id, 1, 0, pieces[:own], header, "", "")])

        async def call(holder: str, method: str, *_: Any, timeout: float) -> Any:
            return TakeOver(True, 2, "b", header, list(pieces[:other]), "", "")

        digest = AnswerDigest(cfg.fleet_secret, REQUEST.answer_id, "v1")
        for piece in pieces[:2]:
            digest.update(piece)
        position = digest.event_id()
        found = FoundAnswer("c", AnswerLocation(True, owner, "a", 1, other, False), True)
        unused: Any = None
        registry: Any = FakeRegistry()
        mesh: Any = SimpleNamespace(call=call)
        queries: Any = FakeQueries(found)
        locator = AnswerLocator(cfg, registry, copies, mesh, queries, unused)
        resume = ResumePoint(position.offset, position.digest)
        fingerprint = fingerprint_request(REQUEST.body)
        request = replace(REQUEST, fingerprint=fingerprint, resume=resume)
        return await locator.locate(request, True, None)

    async def test_longer_copy_here(self):
        located = await self.locate(own=3, other=1)
        self.assertIsInstance(located, LocatedAnswer)
        self.assertEqual(len(located.source.answer.pieces), 3)

    async def test_longer_copy_elsewhere(self):
        located = await self.locate(own=1, other=3)
        self.assertIsInstance(located, LocatedAnswer)
        self.assertEqual(len(located.source.answer.pieces), 3)

    async def test_owner_is_preferred_to_a_longer_copy(self):
        located = await self.locate(own=3, other=1, owner=True)
        self.assertEqual(located.source.instance, "c")


class OwnerClaimTest(unittest.TestCase):
    """Guards against instances that rank two claims differently."""

    def test_exactly_one_of_two_claims_outranks_the_other(self):
        claims = [OwnerClaim(epoch, name) for epoch in (1, 2) for name in ("a", "b")]
        for one in claims:
            for other in claims:
                ranks = (one.outranks(other), other.outranks(one))
                self.assertEqual(sum(ranks), int(one != other))


if __name__ == "__main__":
    unittest.main()
