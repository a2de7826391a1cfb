"""Tests of the adapter to the users' platform, with a scripted store."""

from __future__ import annotations

import asyncio
import re
import tempfile
import time
import unittest
from dataclasses import replace
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import msgspec
from feed_changes import list_changes
from gateway_case import GatewayCase, full_response

from sapphireledge.core.quarantine import ClearingRecord, CrashReport
from sapphireledge.feed import (
    FeedSettings,
    KindFeed,
    KindSettings,
    KindWatcher,
    Peer,
    SourceError,
    StoredEntry,
    StoreEpoch,
    StorePage,
    StorePresence,
)
from sapphireledge.feed.feed_follower import FeedFollower
from sapphireledge.feed.feed_message import FeedEntry, FeedReply, KindReply
from sapphireledge.feed.feed_server import FeedServer
from sapphireledge.gateway import ConfigView, GatewayMetrics, ReplayRule, seconds_since_boot
from sapphireledge.platform import header_names
from sapphireledge.platform.config_listener import ConfigListener
from sapphireledge.platform.crash_report_writer import CrashReportWriter
from sapphireledge.platform.create_parts import create_feed_runner
from sapphireledge.platform.decode_config import decode_config
from sapphireledge.platform.decode_objects import decode_answer
from sapphireledge.platform.decode_report import decode_cache, decode_report
from sapphireledge.platform.decode_server import decode_server
from sapphireledge.platform.node_settings import load_node_settings
from sapphireledge.platform.server_listener import ServerListener
from sapphireledge.platform.settings_reloader import SettingsReloader
from sapphireledge.platform.store_client import StoreClient
from sapphireledge.platform.store_settings import StoreSettings

SOURCE = Path(__file__).resolve().parent.parent / "src" / "sapphireledge"

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "A.example",
            "path_prefix": "/x/",
            "kind": "streaming",
            "timeout_ms": 25000,
            "goal_ms": 4000,
            "priority": 1,
            "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "max_attempts": 5,
            "resumable": True,
            "sticky": True,
        },
        {
            "name": "r2",
            "host": "a.example",
            "path_prefix": "/x/y/",
            "kind": "unsafe",
            "timeout_ms": 2500,
            "service": "s1",
            "anonymous": True,
        },
    ],
    "services": [{"name": "s1", "max_conns": 110, "engine": {"backups": True, "slots": 64}}],
    "limits": {"max_header_bytes": 99, "idle_timeout_ms": 15000},
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 3}],
}

SERVER = {
    "service": "s1",
    "address": "10.0.0.1:80",
    "zone": "akl-a",
    "slots": 6,
    "state": "ready",
    "seq": 1,
    "born": 5,
}

NODE_FILE = {
    "node_name": "n1",
    "zone": "akl-a",
    "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "bounds": {"revoke_ms": 5000, "grace_s": 8, "unknown": 1},
    "platform": {"address": "10.0.0.9:70"},
    "port_range": [7340, 7355],
    "limits": {"link_mbps": 5.0},
    "new_field": True,
}


class DecodeTest(unittest.TestCase):
    def test_decode_config(self):
        """Guards against mixing up fields of the configuration."""
        table = decode_config(CONFIG)
        route = table.match("a.example", "/x/1")
        self.assertEqual((route.name, route.replay), ("r1", ReplayRule.EVENT_STREAM))
        self.assertEqual(route.services, (("s1", 90), ("s2", 10)))
        self.assertEqual((route.time_limit, route.target, route.rank), (25.0, 4.0, 1))
        self.assertEqual(table.match("a.example", "/x/y/z").replay, ReplayRule.ONCE)
        self.assertIsNone(table.match("b.example", "/x/1"))
        self.assertEqual((table.keys["k2"].workspace, table.keys["k2"].rank), ("t1", 3))
        self.assertTrue(table.services["s1"].can_replicate)
        self.assertEqual(table.limits.idle_timeout, 15.0)

    def test_invalid_server_entries_are_rejected(self):
        """Guards against forwarding to registry entries that cannot be decoded."""
        self.assertEqual(decode_server("i1", SERVER).started_at_ms, 5)
        invalid_changes = (
            {"state": "other"},
            {"slots": "6"},
            {"address": "x"},
            {"service": None},
            {"zone": 1},
        )
        for change in invalid_changes:
            with self.subTest(change), self.assertRaises((msgspec.ValidationError, ValueError)):
                decode_server("i1", {**SERVER, **change})
        with self.assertRaises(msgspec.ValidationError):
            decode_server("i1", "text")

    def test_decode_report(self):
        """Guards against a wrong number of prompts that an engine is still processing."""
        body = b'{"waiting":1,"running":2,"runs":[["a",9,0,5],["b",9,4,5]],"born":8}'
        load = decode_report(body)
        self.assertEqual(
            (load.waiting, load.prefilling, load.running, load.started_at_ms), (1, 1, 2, 8)
        )
        self.assertEqual(load.events, {"a": 0, "b": 4})
        self.assertIsNone(decode_report(b"no"))
        self.assertEqual(decode_cache(b'{"held":[["","aa",9,"m"]]}'), frozenset({"aa"}))

    def test_load_node_settings(self):
        """Guards against silent use of invalid settings, and against rejection of new fields."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_bytes(msgspec.json.encode(NODE_FILE))
            cfg = load_node_settings(path)
            self.assertEqual((cfg.store.host, cfg.store.port), ("10.0.0.9", 70))
            self.assertLess(cfg.gateway.max_config_age, 5.0)
            self.assertEqual((cfg.peer.port, cfg.peer.link_mbps), (7340, 5.0))
            path.write_bytes(msgspec.json.encode({**NODE_FILE, "zone": 3}))
            with self.assertRaisesRegex(msgspec.ValidationError, "zone"):
                load_node_settings(path)
            path.write_bytes(msgspec.json.encode({**NODE_FILE, "platform": {"address": "x"}}))
            with self.assertRaisesRegex(ValueError, "IP:PORT"):
                load_node_settings(path)


class ReloadTest(GatewayCase):
    async def test_reload_applies_valid_settings_and_rejects_invalid_ones(self):
        """Guards against changes that need a restart, and against applying an invalid file."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_bytes(msgspec.json.encode(NODE_FILE))
            reloader = SettingsReloader(path, load_node_settings(path), self.gateway)
            path.write_bytes(msgspec.json.encode({**NODE_FILE, "bounds": {"revoke_ms": 3000}}))
            reloader.reload()
            self.assertAlmostEqual(self.gateway.cfg.max_config_age, 1.8)
            path.write_bytes(b"{")
            reloader.reload()
            self.assertAlmostEqual(self.gateway.cfg.max_config_age, 1.8)


class BoundaryTest(unittest.TestCase):
    def test_platform_names_stay_in_adapter(self):
        """Guards against names of the platform outside the adapter."""
        wire_names = [
            value.decode() for value in vars(header_names).values() if type(value) is bytes
        ]
        wire_names += [
            "path_prefix_",
            "max_conns",
            "api_keys",
            "kv_used",
            "store_revision",
            "goal_ms",
        ]
        shared_names = {"last-event-id"}
        # Words of plain English are names of the platform only where they are quoted.
        plain_words = {"resumes"}
        names = set(wire_names) - shared_names
        searched = [re.escape(name) for name in names - plain_words]
        searched += [f"[\"']{re.escape(name)}[\"']" for name in names & plain_words]
        pattern = re.compile("|".join(searched), re.I)
        found = [
            f"{path}:{number}"
            for path in SOURCE.rglob("*.py")
            if "platform" not in path.relative_to(SOURCE).parts
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if pattern.search(line)
        ]
        self.assertEqual(found, [])


class ScriptedStore:
    """A store that gives scripted answers in order, one for each call.

    An answer is a status with a body, "no_changes" to hold a watch open for its full time, or
    "no_answer" to never answer. Without a scripted answer, "no_changes" applies.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.answers: list[tuple[int, object] | str] = []
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"content-length: (\d+)", head, re.I)
                await reader.readexactly(int(length.group(1)) if length else 0)
                self.calls.append(head.split(" ")[1])
                answer = self.answers.pop(0) if self.answers else "no_changes"
                if answer == "no_changes":
                    query = parse_qs(urlsplit(self.calls[-1]).query)
                    if "wait_ms" not in query:
                        await asyncio.sleep(30)
                    await asyncio.sleep(int(query["wait_ms"][0]) / 1000)
                    answer = (200, {"events": [], "store_revision": int(query["watch"][0])})
                if answer == "no_answer":
                    await asyncio.sleep(30)
                response = full_response(answer[0], {}, msgspec.json.encode(answer[1]))
                writer.write(response * (2 if "twice" in answer else 1))
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


def stored_object(name, spec):
    return {"metadata": {"name": name, "revision": 1}, "spec": spec}


def listing_answer(*objects, revision=5, more=False):
    return 200, {"items": list(objects), "more": more, "store_revision": revision}


def change_answer(name, spec=None, removed=False, revision=6):
    event = {"removed": removed, "object": stored_object(name, spec)}
    return 200, {"events": [event], "store_revision": revision}


ANSWER_TIMEOUT = 10.0
"""Seconds within which all scripted answers must be requested, even on a busy machine."""


HEARTBEAT = 0.8
"""Seconds between two heartbeats of a backend server."""


class WatchTest(GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = ScriptedStore()
        await self.store.start()
        self.store_cfg = StoreSettings("127.0.0.1", self.store.port, call_timeout=0.2)
        self.feed_cfg = FeedSettings(
            kinds=(),
            host="127.0.0.1",
            port=0,
            confirm_wait=0.1,
            start_pause=0.0,
            retry_base=0.02,
            retry_cap=0.05,
        )

    async def asyncTearDown(self) -> None:
        self.store.stop()
        await super().asyncTearDown()

    async def run_watcher(self, kind, listener, answers, seconds):
        self.store.answers = answers
        client = StoreClient(self.store_cfg, StoreEpoch())
        self.feed = KindFeed(kind, listener)
        settings = KindSettings(kind, watch_wait=0.2, batch_delay=0.0)
        watcher = KindWatcher(client, self.feed, settings, self.feed_cfg)
        task = asyncio.create_task(watcher.run())
        async with asyncio.timeout(ANSWER_TIMEOUT):
            while self.store.answers:
                await asyncio.sleep(0.01)
        await asyncio.sleep(seconds)
        task.cancel()
        client.close()
        # The store may still read a call of this watcher, and would give it the next answers.
        await asyncio.sleep(0.05)

    def server_listener(self):
        return ServerListener(self.gateway, heartbeat=HEARTBEAT, recovery_grace=0.8)

    async def test_paged_listing_and_changes(self):
        """Guards against lost pages of a listing and against lost changes."""
        answers = [
            listing_answer(stored_object("i1", SERVER), more=True),
            listing_answer(stored_object("i2", SERVER), revision=9),
            change_answer("i1", removed=True),
        ]
        await self.run_watcher("servers", self.server_listener(), answers, 0.3)
        self.assertEqual(self.gateway.context.registry.ids(), {"i2"})
        self.assertIn("after_rev=i1", self.store.calls[1])
        self.assertIn("watch=5", self.store.calls[2])

    async def test_relists_when_history_is_gone(self):
        """Guards against missing changes that the store's history no longer covers."""
        answers = [
            listing_answer(stored_object("i1", SERVER)),
            (410, {}),
            listing_answer(stored_object("i3", SERVER)),
        ]
        await self.run_watcher("servers", self.server_listener(), answers, 0.3)
        self.assertEqual(self.gateway.context.registry.ids(), {"i3"})

    async def watch_with_stalled_connection(self, presence):
        """Stalls the connection of the registry's watch; returns when a removal was applied."""
        self.store.answers = [listing_answer(stored_object("i1", SERVER)), "no_answer"]
        self.store_cfg = StoreSettings("127.0.0.1", self.store.port, watch_slack=0.1)
        client = StoreClient(self.store_cfg, StoreEpoch())
        settings = KindSettings("servers", watch_wait=1.4, batch_delay=0.0)
        feed = KindFeed("servers", self.server_listener())
        task = asyncio.create_task(
            KindWatcher(client, feed, settings, self.feed_cfg, presence).run()
        )
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(ANSWER_TIMEOUT):
            while self.store.answers:
                await asyncio.sleep(0.01)
        self.store.answers = [change_answer("i1", removed=True)]
        started = loop.time()
        while "i1" in self.gateway.context.registry.ids() and loop.time() < started + 5.0:
            if presence is not None:
                presence.on_success(seconds_since_boot())
            await asyncio.sleep(0.02)
        task.cancel()
        client.close()
        return loop.time() - started

    async def test_stalled_connection_is_not_taken_for_an_outage(self):
        """Guards against servers that stay in use after their removal because of a connection."""
        self.assertLess(await self.watch_with_stalled_connection(StorePresence()), 1.9)

    async def test_silence_of_all_connections_is_taken_for_an_outage(self):
        """Guards against dropping servers whose entries expired while the store was away."""
        self.assertGreater(await self.watch_with_stalled_connection(None), 1.9)

    async def test_unreadable_entry_does_not_affect_others(self):
        """Guards against a single invalid entry that blocks registry updates."""
        answers = [listing_answer(stored_object("bad", {"x": 1}), stored_object("i1", SERVER))]
        await self.run_watcher("servers", self.server_listener(), answers, 0.1)
        self.assertEqual(self.gateway.context.registry.ids(), {"i1"})

    async def test_odd_entry_of_another_writer_does_not_affect_others(self):
        """Guards against a listing or a watch that fails for good because of one odd entry."""
        nested = b"[" * 100_000 + b"]" * 100_000
        odd = {
            "deep": nested,
            "deep in a field": b'{"service":"s1","extra":' + nested + b"}",
            "large": b"1e999",
            "long": b"1" * 5_000,
            "wide": b"1" + b"0" * 30,
            "port": msgspec.json.encode({**SERVER, "address": "10.0.0.1:99999"}),
            "name": msgspec.json.encode({**SERVER, "address": "x" * 70 + ".example:80"}),
        }
        for case, spec in odd.items():
            with self.subTest(case):
                entry = {"metadata": {"name": "odd"}, "spec": msgspec.Raw(spec)}
                answers = [
                    listing_answer(entry, stored_object("i1", SERVER)),
                    (200, {"events": [{"object": entry}], "store_revision": 6}),
                    change_answer("i2", SERVER, revision=7),
                ]
                self.store.calls = []
                await self.run_watcher("servers", self.server_listener(), answers, 0.1)
                self.assertEqual(self.gateway.context.registry.ids(), {"i1", "i2"})
                self.assertEqual(len([c for c in self.store.calls if "watch" not in c]), 1)
                _, entries = list_changes(self.feed, None)
                reply = FeedReply(
                    0.0,
                    {
                        "servers": KindReply(
                            7, 0.0, True, [FeedEntry(e.name, e.spec, e.removed) for e in entries]
                        )
                    },
                )
                decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=FeedReply)
                self.assertEqual(len(decoded.kinds["servers"].entries), 3)

    async def test_odd_description_of_an_instance_does_not_hide_the_others(self):
        """Guards against a directory that cannot be read because of one odd entry."""
        client = StoreClient(self.store_cfg, StoreEpoch())
        self.addCleanup(client.close)
        sound = {"address": "10.0.0.2:7340", "data_centre": "akl-a", "link_mbps": 5.0}
        self.store.answers = [
            listing_answer(
                stored_object("e1", {"address": "10.0.0.1:99999"}), stored_object("e2", sound)
            )
        ]
        self.assertEqual([peer.name for peer in await client.list_peers()], ["e2"])

    async def test_stalled_connection_is_replaced(self):
        """Guards against waiting forever on a connection that delivers no answers."""
        answers = [
            listing_answer(stored_object("i1", SERVER)),
            "no_answer",
            change_answer("i2", SERVER),
        ]
        await self.run_watcher("servers", self.server_listener(), answers, 0.8)
        self.assertEqual(self.gateway.context.registry.ids(), {"i1", "i2"})

    async def test_stall_of_the_process_does_not_delay_removals(self):
        """Guards against a stall that is taken for an outage in which entries expire.

        The stall lasts longer than the call timeout, so that the call under way fails after it.
        """
        answers = [
            listing_answer(stored_object("i1", SERVER), stored_object("i2", SERVER)),
            "no_answer",
            change_answer("i1", removed=True),
        ]
        task = asyncio.create_task(
            self.run_watcher("servers", self.server_listener(), answers, 0.3)
        )
        while len(self.store.calls) < 2:
            await asyncio.sleep(0.01)
        time.sleep(0.25)  # noqa: ASYNC251, the stall blocks the event loop on purpose
        await task
        self.assertEqual(self.gateway.context.registry.ids(), {"i2"})

    async def test_entries_expired_during_outage_stay_for_grace_period(self):
        """Guards against running out of servers right after the store recovers."""
        outage = [(503, {})] * 3
        answers = [
            listing_answer(stored_object("i1", SERVER), stored_object("i2", SERVER)),
            *outage,
            (410, {}),
        ]
        answers += [listing_answer(), change_answer("i1", SERVER)]
        listener = ServerListener(self.gateway, heartbeat=0.01, recovery_grace=0.8)
        task = asyncio.create_task(self.run_watcher("servers", listener, answers, 1.6))
        await asyncio.sleep(0.5)
        self.assertEqual(self.gateway.context.registry.ids(), {"i1", "i2"})
        await task
        self.assertEqual(self.gateway.context.registry.ids(), {"i1"})

    async def test_removed_entry_is_dropped_at_once_while_store_is_available(self):
        """Guards against forwarding to servers that have left."""
        answers = [listing_answer(stored_object("i1", SERVER)), change_answer("i1", removed=True)]
        await self.run_watcher("servers", self.server_listener(), answers, 0.1)
        self.assertEqual(self.gateway.context.registry.ids(), frozenset())

    async def test_server_missing_in_a_restored_store_stays_until_it_registers_again(self):
        """Guards against the loss of all servers that were added after the copy was made."""
        listener = self.server_listener()
        listener.replace_all([StoredEntry("i1", SERVER), StoredEntry("i2", SERVER)])
        listener.on_store_restored()
        listener.replace_all([StoredEntry("i1", SERVER)])
        self.assertEqual(self.gateway.context.registry.ids(), {"i1", "i2"})
        await asyncio.sleep(1.0)
        self.assertEqual(self.gateway.context.registry.ids(), {"i1"})

    async def test_server_that_left_is_not_used_when_a_restored_store_brings_it_back(self):
        """Guards against requests to a server that the store forgot to have left."""
        listener = ServerListener(self.gateway, heartbeat=0.1, recovery_grace=0.2)
        registry = self.gateway.context.registry
        listener.replace_all([StoredEntry("gone", SERVER), StoredEntry("leaving", SERVER)])
        listener.apply([StoredEntry("leaving", {**SERVER, "state": "draining"})])
        listener.apply([StoredEntry("gone", None, removed=True)])
        listener.on_store_restored()
        listener.replace_all([StoredEntry("gone", SERVER), StoredEntry("leaving", SERVER)])
        self.assertFalse(registry.is_available("leaving"))
        self.assertFalse(registry.is_available("gone"))
        await asyncio.sleep(0.6)
        self.assertTrue(registry.is_available("gone"))
        self.assertFalse(registry.is_available("leaving"))
        listener.replace_all([StoredEntry("leaving", {**SERVER, "born": 6})])
        self.assertTrue(registry.is_available("leaving"))

    async def test_older_configuration_of_a_restored_store_confirms_nothing(self):
        """Guards against keys that stay valid because the store has lost their withdrawal."""
        view = self.gateway.config
        listener = ConfigListener(view)
        listener.replace_all([StoredEntry("main", CONFIG)])
        before = view.age
        listener.on_store_restored()
        listener.replace_all([StoredEntry("main", {**CONFIG, "version": 5})])
        listener.confirm(seconds_since_boot())
        self.assertEqual(view.table.version, 7)
        self.assertGreaterEqual(view.age, before)
        listener.replace_all([StoredEntry("main", {**CONFIG, "version": 8})])
        listener.confirm(seconds_since_boot())
        self.assertLess(view.age, 0.5)

    async def test_relay_does_not_pass_on_an_older_configuration_of_a_restored_store(self):
        """Guards against instances that start and take withdrawn keys, as a relay confirms them."""
        epoch = StoreEpoch()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_bytes(msgspec.json.encode(NODE_FILE))
            cfg = load_node_settings(path)
        runner = create_feed_runner(cfg, self.gateway, GatewayMetrics(), epoch)
        feed = runner._server._feeds["config"]
        stored = [StoredEntry("main", {**CONFIG, "version": version}) for version in (7, 5, 7)]
        restored_at = seconds_since_boot()
        feed.apply_listing(StorePage((stored[0],), 40), restored_at)
        epoch.observe(1)
        epoch.observe(2)
        for revision in (21, 22):
            feed.apply_listing(StorePage((stored[1],), revision), seconds_since_boot() + 1.0)
        self.assertEqual(list_changes(feed, None), (True, [stored[0]]))
        self.assertEqual(feed.confirmed_at, restored_at)
        feed.apply_changes(StorePage((stored[2],), 23), restored_at + 2.0)
        self.assertEqual(list_changes(feed, 22), (False, [stored[2]]))
        self.assertEqual(feed.confirmed_at, restored_at + 2.0)

    async def test_started_instance_takes_over_what_a_restored_store_has_lost(self):
        """Guards against withdrawn keys at an instance that reads the store before its relay has
        read it again."""
        feeds, views = [], []
        for _ in range(2):
            views.append(ConfigView())
            listener = ConfigListener(views[-1])
            feeds.append(KindFeed("config", listener, order=listener))
        feeds[0].apply_listing(StorePage((StoredEntry("main", CONFIG),), 40), seconds_since_boot())
        feeds[0].on_store_restored()
        older = StorePage((StoredEntry("main", {**CONFIG, "version": 5}),), 21)
        feeds[1].apply_listing(older, seconds_since_boot())
        cfg = FeedSettings(kinds=(), host="127.0.0.1", port=0)
        server = FeedServer(cfg, {"config": feeds[0]}, StoreEpoch(), lambda: False)
        listening = await server.listen()
        self.addAsyncCleanup(listening.wait_closed)
        self.addCleanup(listening.close)
        port = listening.sockets[0].getsockname()[1]
        follower = FeedFollower(cfg, {"config": feeds[1]}, StoreEpoch())
        for _ in range(2):
            await follower.follow(Peer("e1", "127.0.0.1", port, "dc-a", 5.0), once=True)
            self.assertEqual(views[1].table.version, 7)
        confirmed_at = views[1]._confirmed_at
        for revision, version, confirms in ((21, None, False), (22, 5, False), (23, 7, True)):
            stored = StoredEntry("main", {**CONFIG, "version": version})
            page = StorePage(() if version is None else (stored,), revision)
            apply = feeds[1].apply_changes if version is None else feeds[1].apply_listing
            apply(page, seconds_since_boot() + revision)
            self.assertEqual(views[1]._confirmed_at > confirmed_at, confirms)
            self.assertEqual(list_changes(feeds[1], None)[1][0].spec["version"], 7)

    async def test_description_and_crash_report_are_written_again_after_a_restore(self):
        """Guards against what this instance wrote and a restored store has lost."""
        epoch = StoreEpoch()
        writer = CrashReportWriter(
            StoreClient(self.store_cfg, epoch), self.gateway.context.crashes, "e1"
        )
        epoch.subscribe(writer.on_store_restored)
        clearing = ClearingRecord("part:a", time.time())
        self.gateway.context.crashes.on_clearing(clearing)
        stored = stored_object("e1", CrashReport(clearings=(clearing,)).to_builtins())
        self.store.answers = [(201, stored)]
        task = asyncio.create_task(writer.run())
        async with asyncio.timeout(ANSWER_TIMEOUT):
            while self.store.answers:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        calls = len(self.store.calls)
        self.store.answers = [(201, stored)]
        epoch.observe(2)
        async with asyncio.timeout(ANSWER_TIMEOUT):
            while self.store.answers:
                await asyncio.sleep(0.01)
        task.cancel()
        self.assertEqual(self.store.calls[calls:], ["/objects/crash-reports"])

    async def test_restart_with_same_id_resets_counters(self):
        """Guards against counters carried over from an earlier incarnation."""
        answers = [listing_answer(stored_object("i1", SERVER))]
        await self.run_watcher("servers", self.server_listener(), answers, 0.1)
        self.gateway.context.registry.state("i1").in_flight = 3
        answers = [listing_answer(stored_object("i1", {**SERVER, "born": 6}))]
        await self.run_watcher("servers", self.server_listener(), answers, 0.1)
        self.assertEqual(self.gateway.context.registry.state("i1").in_flight, 0)

    async def test_instances_announce_and_list_each_other(self):
        """Guards against extra store calls when an unchanged instance restarts."""
        spec = {"address": "10.0.0.1:7340", "data_centre": "dc-a", "link_mbps": 5.0}
        peer = Peer("e1", "10.0.0.1", 7340, "dc-a", 5.0)
        client = StoreClient(self.store_cfg, StoreEpoch())
        self.store.answers = [
            (409, stored_object("e1", spec)),
            listing_answer(stored_object("e1", spec)),
        ]
        await client.announce(peer)
        self.assertEqual(await client.list_peers(), [peer])
        self.assertEqual(len(self.store.calls), 2)
        self.store.answers = [
            (409, stored_object("e1", {**spec, "address": "10.0.0.2:1"})),
            (200, {}),
        ]
        await client.announce(peer)
        self.assertTrue(self.store.calls[-1].endswith("/e1"))
        client.close()

    async def test_watch_confirms_configuration(self):
        """Guards against accepting keys longer than the store has confirmed them."""
        listener = ConfigListener(self.gateway.config)
        self.gateway.config._confirmed_at = float("-inf")
        started = seconds_since_boot()
        answers = [listing_answer(stored_object("main", CONFIG)), "no_changes"]
        await self.run_watcher("config", listener, answers, 0.35)
        self.assertEqual(self.gateway.config.table.version, 7)
        self.assertGreaterEqual(self.gateway.config._confirmed_at, started + 0.2)
        self.assertLessEqual(self.gateway.config._confirmed_at, seconds_since_boot())

    async def test_watch_that_returns_early_confirms_only_its_start(self):
        """Guards against keys that stay valid because a watch was cut off or answered twice."""
        listener = ConfigListener(self.gateway.config)
        self.gateway.config._confirmed_at = float("-inf")
        self.feed_cfg = replace(self.feed_cfg, initial_wait=1.0)
        started = seconds_since_boot()
        listing = listing_answer(stored_object("main", CONFIG))
        answers = [listing, (200, {"events": [], "store_revision": 5})]
        await self.run_watcher("config", listener, answers, 0.15)
        self.assertLess(self.gateway.config._confirmed_at, started + 0.1)

    async def test_error_while_a_change_is_applied_does_not_end_the_watch(self):
        """Guards against a registry that stays as it is after one unexpected error."""
        listener = self.server_listener()
        apply, errors = listener.apply, [KeyError("entry")]

        def fail_once(entries):
            if errors:
                raise errors.pop()
            apply(entries)

        listener.apply = fail_once
        answers = [listing_answer(stored_object(f"i{n}", SERVER)) for n in (1, 2)]
        await self.run_watcher("servers", listener, answers, 0.3)
        self.assertEqual(self.gateway.context.registry.ids(), {"i2"})

    async def test_second_copy_of_a_response_is_not_the_next_one(self):
        """Guards against late copies, as the store's responses carry no id."""
        peers = [
            {"address": f"10.0.0.{n}:7340", "data_centre": "a", "link_mbps": 5.0} for n in (1, 2)
        ]
        self.store.answers = [
            (*listing_answer(stored_object("e1", peers[0])), "twice"),
            listing_answer(stored_object("e2", peers[1])),
        ]
        client = StoreClient(self.store_cfg, StoreEpoch())
        names = [(await client.list_peers())[0].name for _ in range(2)]
        self.assertEqual(names, ["e1", "e2"])
        client.close()

    async def test_endless_or_nested_response_is_a_failed_call(self):
        """Guards against a store response that takes all memory or ends the process."""
        client = StoreClient(self.store_cfg, StoreEpoch())
        for body in ("x" * 9_000_000, "["):
            self.store.answers = [(200, body)]
            with self.assertRaises(SourceError):
                await client.list_peers()
        with self.assertRaises(SourceError):
            decode_answer(b"[" * 100_000, dict)

    async def test_half_of_a_surrogate_pair_does_not_affect_other_entries(self):
        """Guards against a registry that stays as it is because of one entry."""
        client = StoreClient(self.store_cfg, StoreEpoch())
        odd = (r'"\ud800"', r'"\udfff\ud800"', '"\udc80"')
        for text in odd:
            sound = msgspec.json.encode(stored_object("s1", SERVER)).decode()
            for metadata, content, names in (
                ('{"name": "odd"}', f'{{"version": {text}}}', ["odd", "s1"]),
                (f'{{"name": {text}}}', "{}", ["s1"]),
            ):
                with self.subTest(text=ascii(text), metadata=metadata):
                    item = f'{{"metadata": {metadata}, "spec": {content}}}'
                    body = f'{{"items": [{item}, {sound}], "store_revision": 3}}'
                    self.store.answers = [(200, msgspec.Raw(body.encode(errors="surrogateescape")))]
                    page = await client.list("servers")
                    self.assertEqual([entry.name for entry in page.entries], names)
                    self.assertEqual(page.entries[-1].spec, SERVER)
                    if len(names) > 1:
                        self.assertIsNone(page.entries[0].spec)
                    event = f'{{"object": {item}}}, {{"object": {sound}}}'
                    body = f'{{"events": [{event}], "store_revision": 4}}'
                    self.store.answers = [(200, msgspec.Raw(body.encode(errors="surrogateescape")))]
                    changes = await client.watch("servers", 3, 0.1)
                    self.assertEqual([entry.name for entry in changes.entries], names)
        client.close()

    async def test_report_with_an_odd_request_id_is_read(self):
        """Guards against streams that look lost because of another caller's id in the report."""
        for odd in (rb'"\ud800"', b'"\xff"'):
            report = decode_report(b'{"runs": [[' + odd + b', 1, 2, 5], ["r1", 10, 7, 5]]}')
            self.assertEqual(report.events["r1"], 7)
            self.assertIn("p1", decode_cache(b'{"held": [["", ' + odd + b'], ["", "p1"]]}'))

    async def test_unreadable_configuration_is_ignored(self):
        """Guards against a process that stops or drops its routes on an invalid update."""
        listener = ConfigListener(self.gateway.config)
        broken = {**CONFIG, "version": 8, "routes": "none"}
        await self.run_watcher(
            "config", listener, [listing_answer(stored_object("main", broken))], 0.1
        )
        self.assertEqual(self.gateway.config.table.version, 1)


if __name__ == "__main__":
    unittest.main()
