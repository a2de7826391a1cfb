"""Tests of entries from other writers whose names hold characters of a request target."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from unittest import mock
from urllib.parse import unquote, unquote_plus

import h11
import msgspec
from gateway_case import GatewayCase
from test_platform_adapter import NODE_FILE, SERVER

from sapphireledge.feed import FeedSettings, KindFeed, Peer, StoredEntry, StoreEpoch, StorePage
from sapphireledge.feed.feed_follower import FeedFollower
from sapphireledge.feed.feed_server import FeedServer
from sapphireledge.gateway import GatewayMetrics, seconds_since_boot
from sapphireledge.platform.create_parts import create_feed_runner
from sapphireledge.platform.decode_server import decode_server
from sapphireledge.platform.node_settings import load_node_settings
from sapphireledge.platform.store_client import INSTANCE_KIND, StoreClient
from sapphireledge.platform.store_settings import StoreSettings
from soak.store import Store

ODD_NAMES = (
    "s2&x",
    "s2&",
    "&",
    "s2+x",
    "+",
    "s2#x",
    "#",
    "s2%41",
    "s2%zz",
    "%",
    "s2 x",
    " ",
    "s2\tx",
    "s2\nx",
    "s2\r\nx: y",
    "s2=x",
    "s2;x",
    "s2?x",
    "s2/x",
    "/",
    ".",
    "..",
    "s2\\",
    's2"',
    "s2\x00",
    "s2\x7f",
    "s2é",
    "é",
    "споткнулся",
    "滑冰",
    "⛸",
    "",
)
"""Names that other writers may give, by which pages of a listing are continued."""

PATH_NAMES = [name for name in ODD_NAMES if name not in ("", ".", "..")]
"""Those that can be a segment of a path."""

CONTROLS = {*map(chr, range(32)), "\x7f"} - {"\t"}
"""Characters that no header holds."""

SOUND_NAMES = ("s1", "s2", "s3", "s4")


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """A store, and a client of it."""

    async def asyncSetUp(self):
        self.store = Store()
        await self.store.start()
        self.client = StoreClient(
            StoreSettings("127.0.0.1", self.store.port, call_timeout=5.0), StoreEpoch()
        )

    async def asyncTearDown(self):
        self.client.close()


class ListingTest(StoreCase):
    async def list_names(self, kind):
        async with asyncio.timeout(10):
            page = await self.client.list(kind)
        return [entry.name for entry in page.entries]

    async def test_pages_after_an_odd_name(self):
        """Guards against listings that end, repeat or skip entries at an odd name."""
        for decode_query in (unquote_plus, unquote):
            self.store.decode_query = decode_query
            for number, odd_name in enumerate(ODD_NAMES):
                kind = f"kind-{decode_query.__name__}-{number}"
                names = sorted([*SOUND_NAMES, odd_name])
                for name in names:
                    self.store.put(kind, name, {})
                self.store.page_size = names.index(odd_name) + 1
                self.store.calls.clear()
                with self.subTest(odd_name, decode_query=decode_query.__name__):
                    self.assertEqual(await self.list_names(kind), names)
                    pages = -(-len(names) // self.store.page_size)
                    self.assertEqual(self.store.calls.total(), pages)

    async def test_list_of_instances(self):
        """Guards against an instance that finds no other one because of an odd name."""
        for number in range(4):
            peer = Peer(f"n{number}", "10.0.0.1", 7340, "dc-a", 1000.0)
            await self.client.announce(peer)
        for odd_name in ODD_NAMES:
            self.store.put(INSTANCE_KIND, odd_name, {"note": "by another writer"})
        self.store.page_size = 1
        async with asyncio.timeout(10):
            peers = await self.client.list_peers()
        self.assertEqual([peer.name for peer in peers], ["n0", "n1", "n2", "n3"])


class ObjectPathTest(StoreCase):
    """An instance is named by its settings, and its objects after it."""

    async def test_replaced_object(self):
        """Guards against writes to another object than the one that was named."""
        for name in PATH_NAMES:
            with self.subTest(name):
                first = await self.client.write("kind-a", name, {"n": 1}, None)
                second = await self.client.write("kind-a", name, {"n": 2}, first.revision)
                self.assertTrue(first.written and second.written)
                self.assertEqual(self.store.get("kind-a", name)["spec"], {"n": 2})
                status = await self.client.write_status("kind-a", name, "s", second.revision)
                self.assertTrue(status is not None and status.written)
                stored = await self.client.read("kind-a", name)
                self.assertEqual((stored.spec, stored.status), ({"n": 2}, "s"))
        self.assertEqual(set(self.store.names("kind-a")), set(PATH_NAMES))
        self.assertEqual(self.store.calls["invalid target"], 0)

    async def test_announced_again_at_another_address(self):
        """Guards against an instance that stays listed at an address that it has left."""
        for name in PATH_NAMES:
            with self.subTest(name):
                for host in ("10.0.0.1", "10.0.0.2"):
                    await self.client.announce(Peer(name, host, 7340, "dc-a", 1000.0))
                spec = self.store.get(INSTANCE_KIND, name)["spec"]
                self.assertEqual(spec["address"], "10.0.0.2:7340")


class ForwardingPeerTest(GatewayCase):
    async def test_instance_without_a_port_for_forwarded_requests(self):
        """Guards against a request that ends with an OverflowError of the connection attempt."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_bytes(msgspec.json.encode(NODE_FILE))
            cfg = load_node_settings(path)
        runner = create_feed_runner(cfg, self.gateway, GatewayMetrics(), StoreEpoch())
        runner.peers = tuple(
            Peer(f"n{port}", "127.0.0.1", port, "dc-a", 1000.0) for port in (7340, 65_535)
        )
        names = [peer.name for peer in self.gateway.peers.list_peers()]
        self.assertEqual(names, ["n7340"])


class PassingOnTest(unittest.IsolatedAsyncioTestCase):
    async def test_odd_names_reach_followers(self):
        """Guards against followers that leave a relay because of an odd name."""
        listeners = [mock.Mock(), mock.Mock()]
        feeds = [KindFeed("servers", listener) for listener in listeners]
        cfg = FeedSettings(kinds=(), host="127.0.0.1", port=0)
        server = FeedServer(cfg, {"servers": feeds[0]}, StoreEpoch(), lambda: True)
        listening = await server.listen()
        self.addAsyncCleanup(listening.wait_closed)
        self.addCleanup(listening.close)
        port = listening.sockets[0].getsockname()[1]
        follower = FeedFollower(cfg, {"servers": feeds[1]}, StoreEpoch())
        entries = tuple(StoredEntry(name, {"note": name}) for name in ODD_NAMES)
        removed = tuple(StoredEntry(name, None, True) for name in ODD_NAMES)
        feeds[0].apply_listing(StorePage(entries, 40), seconds_since_boot())
        peer = Peer("e1", "127.0.0.1", port, "dc-a", 5.0)
        self.assertEqual(await follower.follow(peer, once=True), "")
        listeners[1].replace_all.assert_called_once_with(entries)
        feeds[0].apply_changes(StorePage(removed, 41), seconds_since_boot())
        self.assertEqual(await follower.follow(peer, once=True), "")
        listeners[1].apply.assert_called_once_with(removed)


class ServerIdTest(unittest.TestCase):
    def test_names_that_no_header_holds(self):
        """Guards against requests that fail because the id of their server cannot be sent."""
        refused = [name for name in ODD_NAMES if name != name.strip() or set(name) & CONTROLS]
        self.assertEqual(len(refused), 5)
        for name in ("", *refused, "x" * 2_000):
            with self.subTest(name), self.assertRaises(ValueError):
                decode_server(name, SERVER)
        for name in sorted(set(ODD_NAMES) - {"", *refused}):
            with self.subTest(name):
                self.assertEqual(decode_server(name, SERVER).server_id, name)
                h11.Request(
                    method="GET", target="/", headers=[("host", "-"), ("id", name.encode())]
                )


if __name__ == "__main__":
    unittest.main()
