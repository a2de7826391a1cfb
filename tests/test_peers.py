"""Tests of links and of the heartbeat mesh, over real connections."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from dataclasses import replace
from unittest import mock

import structlog

from sapphireledge.core.membership import DeathNotice, Member
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.peers import (
    AnswerLocation,
    AnswerPart,
    AppendResult,
    ConfigPart,
    LocalState,
    PeerLink,
    PeerMesh,
    PeerQueries,
    PeerServer,
    VoidReply,
)
from sapphireledge.settings import Address, PeerSettings, Settings


def make_settings(name: str, **extra) -> Settings:
    return Settings(
        instance=name,
        data_centre=name[0],
        region="r",
        caller_address=Address(port=0),
        peer_address=Address(port=extra.pop("port", 0)),
        operator_address=Address(port=0),
        platform={"url": "http://127.0.0.1:1"},
        fleet_secret=extra.pop("secret", "secret"),
        peers=PeerSettings(heartbeat=0.05, dead_after=0.4, **extra),
    )


def setUpModule():
    before = structlog.get_config()
    unittest.addModuleCleanup(structlog.configure, **before)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))


def replace_hello(hello, name: str):
    hello.instance, hello.secret = name, "secret"
    return hello


class Store:
    """Handler that keeps copies of answers; delays and refusals are set by the tests."""

    def __init__(self):
        self.answers: dict[str, tuple[int, str, list[str], str]] = {}
        self.append_delay = 0.0
        self.appends = 0
        self.location = AnswerLocation(found=False)
        self.void = VoidReply(voided=True, since_unix=100.0)
        self.delay = 0.0
        self.config_version = 0

    async def append_answers(self, sender, appends):
        self.appends += 1
        await asyncio.sleep(self.append_delay)
        return [self._append(append) for append in appends]

    def _append(self, append):
        known = self.answers.get(append.request_id)
        if known is None and not append.header:
            return AppendResult(append.request_id, 0, append.epoch, header_missing=True)
        epoch, header, pieces, finish = known or (append.epoch, append.header, [], "")
        if epoch > append.epoch:
            return AppendResult(append.request_id, len(pieces), epoch)
        if append.offset <= len(pieces):
            pieces = pieces[: append.offset] + list(append.pieces)
        self.answers[append.request_id] = (append.epoch, header, pieces, append.finish or finish)
        return AppendResult(append.request_id, len(pieces), append.epoch)

    async def find_answer(self, request_id):
        await asyncio.sleep(self.delay)
        return self.location

    async def read_answer(self, request_id, offset, wait):
        await asyncio.sleep(wait)
        return AnswerPart(offset=offset)

    async def config_since(self, version):
        return ConfigPart(version=self.config_version, highest_version=self.config_version)

    async def void_key(self, claim_key):
        await asyncio.sleep(self.delay)
        return self.void

    async def read_events(self, request_id):
        return Failure(ErrorKind.NOT_FOUND, "no such request")


class Node:
    """One entry: server, mesh and what it heard."""

    def __init__(self, name: str, fleet: dict[str, Node], **extra):
        self.name = name
        self.fleet = fleet
        self.cfg = make_settings(name, **extra)
        self.store = Store()
        self.local = LocalState(usage={f"w-{name}": 100.0})
        self.usage: dict[str, dict[str, float]] = {}
        self.restarts: list[str] = []
        self.deaths: list[DeathNotice] = []
        self.left: list[str] = []
        self.live: tuple[Member, ...] = ()
        rng = random.Random(name)
        self.mesh = PeerMesh(
            self.cfg, self.listed, self, self, self.apply_config, time.monotonic, rng
        )
        self.server = PeerServer(self.cfg, self.mesh, self.store)

    async def start(self) -> Node:
        failure = await self.server.start()
        if failure is not None:
            raise AssertionError(failure)
        self.port = self.server.port
        self.member = Member(self.name, self.name[0], "r", f"127.0.0.1:{self.port}")
        self.fleet[self.name] = self
        return self

    async def stop(self):
        await self.mesh.stop()
        await self.server.stop()

    def listed(self):
        return [node.member for node in self.fleet.values()]

    def local_state(self, now):
        return self.local

    def on_usage(self, now, source, usage, restarted):
        if restarted:
            self.restarts.append(source)
            self.usage.pop(source, None)
        self.usage.setdefault(source, {}).update(usage)

    def on_deaths(self, now, deaths):
        self.deaths.extend(deaths)

    def on_leaving(self, now, backends):
        self.left.extend(backends)

    def on_config_versions(self, now, highest):
        self.highest = highest

    def on_membership(self, now, members):
        self.live = members

    def apply_config(self, part):
        self.local = replace(self.local, config_version=part.version)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Starts entries; the first letter of a name is its data centre."""

    async def asyncSetUp(self):
        self.fleet: dict[str, Node] = {}

    async def asyncTearDown(self):
        await asyncio.gather(*(node.stop() for node in self.fleet.values()))

    async def start(self, *names: str, **extra) -> list[Node]:
        nodes = [await Node(name, self.fleet, **extra).start() for name in names]
        for node in nodes:
            node.mesh.start(node.member.address)
        return nodes

    async def until(self, condition, limit: float = 4.0):
        """Waits until a condition holds; a busy machine only makes it slower."""
        end = time.monotonic() + limit
        while not condition():
            self.assertLess(time.monotonic(), end, "condition did not come true")
            await asyncio.sleep(0.01)

    async def connected(self, node: Node, name: str):
        await self.until(
            lambda: node.mesh.link(name) is not None and node.mesh.link(name).reachable
        )


class PeerLinkTest(FleetTest):
    """Guards against replies of other calls, stuck links and calls that wait for dead peers."""

    async def test_link_reconnects_to_a_restarted_peer(self):
        one, two = await self.start("a1", "a2")
        await self.connected(one, "a2")
        await self.until(lambda: "a2" in one.usage)
        await two.stop()
        await self.until(lambda: not one.mesh.link("a2").reachable)
        # Without the hello of the restarted peer the link would wait for some seconds.
        long_wait = mock.patch("sapphireledge.peers.peer_link.backoff_delay", return_value=30.0)
        long_wait.start()
        self.addCleanup(long_wait.stop)
        await asyncio.sleep(0.2)
        started = time.monotonic()
        failure = await one.mesh.link("a2").call("find_answer", "r", timeout=2.0)
        self.assertIsInstance(failure, Failure)
        self.assertEqual(failure.ran, Ran.NO)
        self.assertLess(time.monotonic() - started, 1.0)
        (again,) = await self.start("a2", port=two.port)
        await self.until(lambda: one.restarts == ["a2"])
        self.assertEqual(one.usage["a2"], {"w-a2": 100.0})
        await self.until(lambda: one.mesh.link("a2").reachable, 1.0)
        # The new process knows nothing of what the old one had acknowledged.
        await self.until(lambda: "w-a1" in again.usage.get("a1", {}), 1.0)
        reply = await one.mesh.link("a2").call("find_answer", "r", timeout=2.0)
        self.assertFalse(reply.found)

    async def test_idle_link_connects_again_before_it_sends(self):
        (two,) = await self.start("a2")
        hello = replace_hello(two.mesh.own_hello(), "a1")
        link = PeerLink(two.member, lambda: hello, two.cfg.peers, random.Random(1))
        self.addAsyncCleanup(link.stop)
        link.start()
        await self.until(lambda: link.reachable)
        await two.server.stop()
        two.server._address = Address(port=two.port)
        self.assertIsNone(await two.server.start())
        await self.until(lambda: not link.reachable)
        reply = await link.call("find_answer", "r", timeout=2.0)
        self.assertNotIsInstance(reply, Failure)
        two.store.delay = 0.2
        self.assertIsInstance(await link.call("find_answer", "r", timeout=0.05), Failure)
        await self.until(lambda: link.reachable)

    async def test_reply_after_a_timeout_is_never_taken_for_the_next_call(self):
        one, two = await self.start("a1", "a2")
        await self.connected(one, "a2")
        two.store.delay = 0.15
        two.store.location = AnswerLocation(found=True, stored=1)
        late = await one.mesh.link("a2").call("find_answer", "r1", timeout=0.05)
        self.assertEqual((type(late), late.ran), (Failure, Ran.UNKNOWN))
        two.store.delay = 0.0
        two.store.location = AnswerLocation(found=True, stored=2)
        await self.connected(one, "a2")
        reply = await one.mesh.link("a2").call("find_answer", "r2", timeout=2.0)
        self.assertEqual(reply.stored, 2)

    async def test_long_calls_delay_neither_each_other_nor_short_calls(self):
        one, _ = await self.start("a1", "a2")
        await self.connected(one, "a2")
        started = time.monotonic()
        calls = [
            asyncio.create_task(one.mesh.call("a2", "read_answer", "r", n, 0.5, timeout=3.0))
            for n in range(8)
        ]
        await one.mesh.link("a2").call("find_answer", "r", timeout=2.0)
        self.assertLess(time.monotonic() - started, 0.45)
        parts = await asyncio.gather(*calls)
        self.assertEqual([part.offset for part in parts], list(range(8)))
        self.assertLess(time.monotonic() - started, 2.0)

    async def test_other_instance_at_the_address_is_not_talked_to(self):
        one, two = await self.start("a1", "a2")
        await self.connected(one, "a2")
        two.member = replace(two.member, name="a7")
        await self.until(lambda: one.mesh.link("a7") is not None)
        failure = await one.mesh.call("a7", "find_answer", "r", timeout=1.0)
        self.assertIn("replaced by a2", failure.reason)

    async def test_wrong_secret_is_refused(self):
        one, _ = await self.start("a1", "a2")
        (stranger,) = await self.start("a3", secret="other")
        failure = await stranger.mesh.call("a1", "find_answer", "r", timeout=1.0)
        await self.until(lambda: stranger.mesh.members)
        failure = await stranger.mesh.call("a1", "find_answer", "r", timeout=1.0)
        self.assertIsInstance(failure, Failure)
        await self.until(lambda: "w-a2" in one.usage.get("a2", {}))
        self.assertNotIn("a3", one.usage)
        self.assertFalse(one.mesh.is_reachable("a3"))

    async def test_failure_of_the_handler_keeps_its_kind(self):
        one, _ = await self.start("a1", "a2")
        await self.connected(one, "a2")
        failure = await one.mesh.call("a2", "read_events", "r", timeout=1.0)
        self.assertEqual(failure.kind, ErrorKind.NOT_FOUND)


class PeerMeshTest(FleetTest):
    """Guards against state that does not reach every entry, or reaches it twice."""

    async def test_usage_deaths_and_leaving_cross_data_centres(self):
        nodes = await self.start("a1", "a2", "a3", "b1", "b2", "b3")
        nodes[0].local = replace(nodes[0].local, leaving=("engine-9",))
        await self.until(lambda: all(len(node.mesh.peer_names) >= 2 for node in nodes))
        death = DeathNotice("engine-1", "boot", 1.0, ("f1", "f2"))
        nodes[0].mesh.report_death(death)
        for node in nodes:
            local = {each for each in self.fleet if each[0] == node.name[0]} - {node.name}
            other = "b" if node.name[0] == "a" else "a"
            sums = f"data-centre/{other}"
            await self.until(lambda n=node, e=local | {sums}: set(n.usage) == e)
            await self.until(lambda n=node, s=sums: len(n.usage[s]) == 3)
            if node is not nodes[0]:
                await self.until(lambda n=node: n.deaths and n.left)
                self.assertEqual(node.deaths, [death])
                self.assertEqual(set(node.left), {"engine-9"})

    async def test_silent_peer_is_taken_as_dead(self):
        one, two, _ = await self.start("a1", "a2", "a3")
        await self.until(lambda: len(one.live) == 3)
        await two.stop()
        await self.until(lambda: [each.name for each in one.live] == ["a1", "a3"])

    async def test_nothing_is_kept_of_an_entry_that_left(self):
        one, two = await self.start("a1", "a2")
        await self.until(lambda: [s.instance for s in one.mesh.statuses] == ["a2"])
        await two.stop()
        del self.fleet["a2"]
        await self.until(lambda: not one.mesh.statuses and not one.mesh.peer_names)
        self.assertEqual([member.name for member in one.mesh.members], ["a1"])

    async def test_entry_behind_takes_the_configuration_of_a_peer(self):
        one, two = await self.start("a1", "a2")
        two.store.config_version = 7
        two.local = replace(two.local, config_version=7)
        await self.until(lambda: one.local.config_version == 7)
        self.assertEqual(one.highest, 7)

    async def test_find_answer_prefers_the_newest_epoch_and_asks_other_data_centres(self):
        nodes = await self.start("a1", "a2", "a3", "b1")
        one, two, three, far = nodes
        await self.connected(one, "a2")
        await self.connected(one, "a3")
        queries = PeerQueries(one.mesh, time.monotonic)
        far.store.location = AnswerLocation(found=True, owner=True, epoch=1)
        found = await queries.find_answer("r", 2.0)
        self.assertEqual((found.instance, found.complete), ("b1", True))
        # The owner was paused; the partner has granted the answer to another entry since.
        two.store.location = AnswerLocation(found=True, owner=True, epoch=1)
        three.store.location = AnswerLocation(found=True, owner=False, epoch=2)
        found = await queries.find_answer("r", 2.0)
        self.assertEqual((found.instance, found.location.epoch), ("a3", 2))
        two.store.location = three.store.location = AnswerLocation()
        two.store.delay = far.store.delay = 30.0
        started = time.monotonic()
        found = await queries.find_answer("r", 0.4)
        self.assertEqual((found.location, found.complete), (None, False))
        self.assertLess(time.monotonic() - started, 1.0)

    async def test_void_key_needs_the_promise_of_every_entry(self):
        one, two, far = await self.start("a1", "a2", "b1")
        await self.connected(one, "a2")
        queries = PeerQueries(one.mesh, time.monotonic)
        self.assertTrue((await queries.void_key("k", 200.0)).all_promised)
        self.assertEqual((await queries.void_key("k", 50.0)).refusing, ("a2", "b1"))
        far.store.void = VoidReply(voided=False, since_unix=1.0)
        self.assertEqual((await queries.void_key("k", 200.0)).refusing, ("b1",))
        far.store.void = VoidReply(voided=True, since_unix=1.0)
        two.store.delay = 30.0
        started = time.monotonic()
        result = await queries.void_key("k", 200.0)
        self.assertEqual((result.all_promised, result.silent), (False, ("a2",)))
        self.assertLess(time.monotonic() - started, 0.8)
