"""Tests of peer links, the heartbeat mesh and peer queries over real connections."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from dataclasses import replace
from unittest import mock

import structlog

from sapphireledge.core.claims import CLAIM_PREFIX, ReceivedKeys, VoidAnswer
from sapphireledge.core.membership import DeathNotice, Member
from sapphireledge.entry.peer_key_voider import PeerKeyVoider
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


def with_identity(hello, name: str):
    hello.instance, hello.secret = name, "secret"
    return hello


class FakePeerHandler:
    """Peer handler that stores answer copies in memory; tests set its delays and replies."""

    def __init__(self):
        self.answers: dict[str, tuple[int, str, list[str], str]] = {}
        self.append_delay = 0.0
        self.append_calls = 0
        self.location = AnswerLocation(found=False)
        self.void_reply = VoidReply(voided=True, since_unix=100.0)
        self.delay = 0.0
        self.config_version = 0

    async def append_answers(self, sender, appends):
        self.append_calls += 1
        await asyncio.sleep(self.append_delay)
        return [self.store_append(append) for append in appends]

    def store_append(self, append):
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
        return self.void_reply

    async def read_events(self, request_id):
        return Failure(ErrorKind.NOT_FOUND, "no such request")


class FleetEntry:
    """Entry with a server and a mesh, which records the reports of its peers."""

    def __init__(self, name: str, fleet: dict[str, FleetEntry], **extra):
        self.name = name
        self.fleet = fleet
        self.cfg = make_settings(name, **extra)
        self.handler = FakePeerHandler()
        self.local = LocalState(usage={f"w-{name}": 100.0})
        self.usage: dict[str, dict[str, float]] = {}
        self.restarted_sources: list[str] = []
        self.deaths: list[DeathNotice] = []
        self.leaving_backends: list[str] = []
        self.live: tuple[Member, ...] = ()
        rng = random.Random(name)
        self.mesh = PeerMesh(
            self.cfg, self.list_instances, self, self, self.apply_config, time.monotonic, rng
        )
        self.server = PeerServer(self.cfg, self.mesh, self.handler)

    async def start(self) -> FleetEntry:
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

    def list_instances(self):
        return [entry.member for entry in self.fleet.values()]

    def local_state(self, now):
        return self.local

    def on_usage(self, now, source, usage, restarted):
        if restarted:
            self.restarted_sources.append(source)
            self.usage.pop(source, None)
        self.usage.setdefault(source, {}).update(usage)

    def on_deaths(self, now, deaths):
        self.deaths.extend(deaths)

    def on_leaving(self, now, backends):
        self.leaving_backends.extend(backends)

    def on_config_versions(self, now, highest):
        self.highest = highest

    def on_membership(self, now, members):
        self.live = members

    def apply_config(self, part):
        self.local = replace(self.local, config_version=part.version)


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Base for tests that start entries; the first letter of a name is the data centre."""

    async def asyncSetUp(self):
        self.fleet: dict[str, FleetEntry] = {}

    async def asyncTearDown(self):
        await asyncio.gather(*(entry.stop() for entry in self.fleet.values()))

    async def start(self, *names: str, **extra) -> list[FleetEntry]:
        entries = [await FleetEntry(name, self.fleet, **extra).start() for name in names]
        for entry in entries:
            entry.mesh.start(entry.member.address)
        return entries

    async def wait_until(self, condition, limit: float = 4.0):
        """Polls until a condition holds, so that a busy machine only slows the test down."""
        end = time.monotonic() + limit
        while not condition():
            self.assertLess(time.monotonic(), end, "condition was not met in time")
            await asyncio.sleep(0.01)

    async def wait_connected(self, entry: FleetEntry, name: str):
        await self.wait_until(
            lambda: entry.mesh.link(name) is not None and entry.mesh.link(name).reachable
        )


class PeerLinkTest(FleetTestCase):
    """Guards against mismatched replies, stuck links and calls that wait for dead peers."""

    async def test_link_reconnects_to_a_restarted_peer(self):
        one, two = await self.start("a1", "a2")
        await self.wait_connected(one, "a2")
        await self.wait_until(lambda: "a2" in one.usage)
        await two.stop()
        await self.wait_until(lambda: not one.mesh.link("a2").reachable)
        # With this backoff the link reconnects in time only if the hello of the restarted peer cuts
        # the backoff short.
        long_backoff = mock.patch(
            "sapphireledge.peers.peer_link.reconnect_delay", return_value=30.0
        )
        long_backoff.start()
        self.addCleanup(long_backoff.stop)
        await asyncio.sleep(0.2)
        started = time.monotonic()
        failure = await one.mesh.link("a2").call("find_answer", "r", timeout=2.0)
        self.assertIsInstance(failure, Failure)
        self.assertEqual(failure.ran, Ran.NO)
        self.assertLess(time.monotonic() - started, 1.0)
        (restarted,) = await self.start("a2", port=two.port)
        await self.wait_until(lambda: one.restarted_sources == ["a2"])
        self.assertEqual(one.usage["a2"], {"w-a2": 100.0})
        await self.wait_until(lambda: one.mesh.link("a2").reachable, 1.0)
        # The new process lacks the usage that the old one acknowledged, so it must be sent again.
        await self.wait_until(lambda: "w-a1" in restarted.usage.get("a1", {}), 1.0)
        reply = await one.mesh.link("a2").call("find_answer", "r", timeout=2.0)
        self.assertFalse(reply.found)

    async def test_idle_link_reconnects_before_sending(self):
        (two,) = await self.start("a2")
        hello = with_identity(two.mesh.own_hello(), "a1")
        link = PeerLink(two.member, lambda: hello, two.cfg.peers, random.Random(1))
        self.addAsyncCleanup(link.stop)
        link.start()
        await self.wait_until(lambda: link.reachable)
        await two.server.stop()
        two.server._address = Address(port=two.port)
        self.assertIsNone(await two.server.start())
        await self.wait_until(lambda: not link.reachable)
        reply = await link.call("find_answer", "r", timeout=2.0)
        self.assertNotIsInstance(reply, Failure)
        two.handler.delay = 0.2
        self.assertIsInstance(await link.call("find_answer", "r", timeout=0.05), Failure)
        await self.wait_until(lambda: link.reachable)

    async def test_late_reply_is_not_returned_to_the_next_call(self):
        one, two = await self.start("a1", "a2")
        await self.wait_connected(one, "a2")
        two.handler.delay = 0.15
        two.handler.location = AnswerLocation(found=True, stored=1)
        late = await one.mesh.link("a2").call("find_answer", "r1", timeout=0.05)
        self.assertEqual((type(late), late.ran), (Failure, Ran.UNKNOWN))
        two.handler.delay = 0.0
        two.handler.location = AnswerLocation(found=True, stored=2)
        await self.wait_connected(one, "a2")
        reply = await one.mesh.link("a2").call("find_answer", "r2", timeout=2.0)
        self.assertEqual(reply.stored, 2)

    async def test_long_calls_delay_neither_each_other_nor_short_calls(self):
        one, _ = await self.start("a1", "a2")
        await self.wait_connected(one, "a2")
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

    async def test_connection_to_a_different_instance_is_rejected(self):
        one, two = await self.start("a1", "a2")
        await self.wait_connected(one, "a2")
        two.member = replace(two.member, name="a7")
        await self.wait_until(lambda: one.mesh.link("a7") is not None)
        failure = await one.mesh.call("a7", "find_answer", "r", timeout=1.0)
        self.assertIn("replaced by a2", failure.reason)

    async def test_wrong_secret_is_rejected(self):
        one, _ = await self.start("a1", "a2")
        (intruder,) = await self.start("a3", secret="other")
        failure = await intruder.mesh.call("a1", "find_answer", "r", timeout=1.0)
        await self.wait_until(lambda: intruder.mesh.members)
        failure = await intruder.mesh.call("a1", "find_answer", "r", timeout=1.0)
        self.assertIsInstance(failure, Failure)
        await self.wait_until(lambda: "w-a2" in one.usage.get("a2", {}))
        self.assertNotIn("a3", one.usage)
        self.assertFalse(one.mesh.is_reachable("a3"))

    async def test_failure_of_the_handler_keeps_its_kind(self):
        one, _ = await self.start("a1", "a2")
        await self.wait_connected(one, "a2")
        failure = await one.mesh.call("a2", "read_events", "r", timeout=1.0)
        self.assertEqual(failure.kind, ErrorKind.NOT_FOUND)


class PeerMeshTest(FleetTestCase):
    """Guards against state that does not reach every entry or is reported to it twice."""

    async def test_usage_deaths_and_leaving_cross_data_centres(self):
        entries = await self.start("a1", "a2", "a3", "b1", "b2", "b3")
        entries[0].local = replace(entries[0].local, leaving=("engine-9",))
        await self.wait_until(lambda: all(len(entry.mesh.peer_names) >= 2 for entry in entries))
        death = DeathNotice("engine-1", "boot", 1.0, ("f1", "f2"), servers=3)
        entries[0].mesh.report_death(death)
        for entry in entries:
            local = {name for name in self.fleet if name[0] == entry.name[0]} - {entry.name}
            other = "b" if entry.name[0] == "a" else "a"
            sums = f"data-centre/{other}"
            await self.wait_until(lambda n=entry, e=local | {sums}: set(n.usage) == e)
            await self.wait_until(lambda n=entry, s=sums: len(n.usage[s]) == 3)
            if entry is not entries[0]:
                await self.wait_until(lambda n=entry: n.deaths and n.leaving_backends)
                self.assertEqual(entry.deaths, [death])
                self.assertEqual(set(entry.leaving_backends), {"engine-9"})

    async def test_silent_peer_is_removed_from_live_members(self):
        one, two, _ = await self.start("a1", "a2", "a3")
        await self.wait_until(lambda: len(one.live) == 3)
        await two.stop()
        await self.wait_until(lambda: [member.name for member in one.live] == ["a1", "a3"])

    async def test_state_of_a_removed_entry_is_dropped(self):
        one, two = await self.start("a1", "a2")
        await self.wait_until(lambda: [s.instance for s in one.mesh.statuses] == ["a2"])
        await two.stop()
        del self.fleet["a2"]
        await self.wait_until(lambda: not one.mesh.statuses and not one.mesh.peer_names)
        self.assertEqual([member.name for member in one.mesh.members], ["a1"])

    async def test_outdated_entry_fetches_configuration_from_a_peer(self):
        one, two = await self.start("a1", "a2")
        two.handler.config_version = 7
        two.local = replace(two.local, config_version=7)
        await self.wait_until(lambda: one.local.config_version == 7)
        self.assertEqual(one.highest, 7)

    async def test_find_answer_prefers_the_newest_epoch_and_asks_other_data_centres(self):
        entries = await self.start("a1", "a2", "a3", "b1")
        one, two, three, remote = entries
        await self.wait_connected(one, "a2")
        await self.wait_connected(one, "a3")
        queries = PeerQueries(one.mesh, time.monotonic)
        remote.handler.location = AnswerLocation(found=True, owner=True, epoch=1)
        found = await queries.find_answer("r", 2.0)
        self.assertEqual((found.instance, found.complete), ("b1", True))
        # The owner was paused, and the partner has since granted the answer to another entry.
        two.handler.location = AnswerLocation(found=True, owner=True, epoch=1)
        three.handler.location = AnswerLocation(found=True, owner=False, epoch=2)
        found = await queries.find_answer("r", 2.0)
        self.assertEqual((found.instance, found.location.epoch), ("a3", 2))
        two.handler.location = three.handler.location = AnswerLocation()
        two.handler.delay = remote.handler.delay = 30.0
        started = time.monotonic()
        found = await queries.find_answer("r", 0.4)
        self.assertEqual((found.location, found.complete), (None, False))
        self.assertLess(time.monotonic() - started, 1.0)

    async def test_void_key_requires_confirmation_from_every_entry(self):
        one, two, remote = await self.start("a1", "a2", "b1")
        await self.wait_connected(one, "a2")
        await self.wait_connected(one, "b1")
        voider = PeerKeyVoider(one.cfg.claims, one.mesh)
        key = f"{CLAIM_PREFIX}0/0f"
        keys, skew = ReceivedKeys(1.0, one.cfg.claims), one.cfg.claims.future_skew

        async def is_proven(key_time: float) -> bool:
            return keys.prove_not_run(key, key_time + skew, await voider.void(key))

        self.assertTrue(await is_proven(200.0))
        # An entry that started after the time of the key may have received it before.
        self.assertFalse(await is_proven(50.0))
        remote.handler.void_reply = VoidReply(voided=False, since_unix=1.0)
        self.assertFalse(await is_proven(200.0))
        remote.handler.void_reply = VoidReply(voided=True, since_unix=1.0)
        two.handler.delay = 30.0
        started = time.monotonic()
        answers = await voider.void(key)
        self.assertEqual(answers, (None, VoidAnswer(True, 1.0)))
        self.assertFalse(keys.prove_not_run(key, 200.0 + skew, answers))
        self.assertLess(time.monotonic() - started, 0.8)
