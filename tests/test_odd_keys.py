"""Tests of objects of other writers under odd keys, on the own interface."""

from __future__ import annotations

import asyncio
import random
import socket
import unittest

import msgspec
from memory_store import MemoryStore
from test_odd_names import ODD_NAMES
from test_platform import FAST_SETTINGS, make_settings

from sapphireledge.core.claims import Claim
from sapphireledge.core.config import ConfigState, ObjectOutcome, StoredDeclaration
from sapphireledge.core.fleet import LeaseRecord
from sapphireledge.core.quarantine import ClearingRecord, DeathRecord
from sapphireledge.entry.claim_collector import ClaimCollector
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.lenient_json import decode_rows
from sapphireledge.objects import ObjectClient, ObjectPage, PrefixWatcher, StoredObject
from sapphireledge.objects._private import InstanceListBody, ObjectPageBody, PlatformResponse
from sapphireledge.peers.messages import PeerService
from sapphireledge.rpc import RpcError, RpcLimits, ThriftConnection
from sapphireledge.settings import ClaimSettings
from sapphireledge_standins.platform_server import PlatformServer, create_server

LIMITS = RpcLimits(max_message=100_000, hello_timeout=2.0, message_timeout=0.3)


class OddKeysTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = PlatformServer()
        self.server = create_server(self.platform)
        sock = socket.create_server(("127.0.0.1", 0))
        self.server_task = asyncio.create_task(self.server.serve(sockets=[sock]))
        self.client = ObjectClient(make_settings(sock.getsockname()[1]))

    async def asyncTearDown(self):
        self.server.should_exit = True
        await self.server_task

    async def test_pages_after_an_odd_key(self):
        """Guards against listings that end, repeat or skip objects at an odd key."""
        keys = sorted([f"a/{name}" for name in ODD_NAMES] + ["a/sound", "a/~sound"])
        for key in keys:
            self.platform.objects.put(key, b"", 0)
        found, after = [], ""
        async with asyncio.timeout(10):
            while True:
                page = await self.client.list("a/", after, 1)
                found += [obj.key for obj in page.objects]
                after = page.next_after
                if not after:
                    break
        self.assertEqual(found, keys)


class RepeatingClient(ObjectClient):
    """Client of a platform that names the same key as the continuation of each page."""

    async def _read(self, method, url, params=None):
        page = {
            "objects": [{"key": "a/1", "value": "", "version": 1}],
            "version": 1,
            "next_after": "a/1",
        }
        return PlatformResponse(200, msgspec.json.encode(page), 0)


class ListingTest(unittest.IsolatedAsyncioTestCase):
    async def test_listing_that_makes_no_progress(self):
        """Guards against endless calls for the same page."""
        client = RepeatingClient(make_settings(1))
        self.assertIsInstance(await client.list("a/"), ObjectPage)
        failure = await client.list("a/", "a/1")
        self.assertIsInstance(failure, Failure)
        self.assertEqual(failure.kind, ErrorKind.PLATFORM_UNAVAILABLE)


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_claims_under_odd_keys(self):
        """Guards against expired claims that stay because of an object that is no claim."""
        store = MemoryStore()
        keys = [f"claims/{0:012d}/w/s/{number}" for number in range(3)]
        odd_keys = [
            f"claims/{name}" for name in (*ODD_NAMES, "1", "7/y", "+00000000001/x", "1_0/x")
        ]
        for key in (*keys, *odd_keys):
            await store.put(key, b"", 0)
        collector = ClaimCollector(
            store, ClaimSettings(collect_rate=1_000), lambda: (0, 1), lambda: 1e9
        )
        async with asyncio.timeout(10):
            await collector.collect()
        left = {obj.key for obj in store.table.list("claims/", "", 100).objects}
        self.assertEqual(left, set(odd_keys))
        self.assertEqual(collector.deleted, len(keys))

    async def test_declarations_under_odd_keys(self):
        """Guards against a configuration that is not read because of one object."""
        store, state = MemoryStore(), ConfigState()
        outcomes = {}
        for number, name in enumerate(ODD_NAMES):
            for key in (f"config/{name}", f"config/{name}/x", f"config/rank/{name}"):
                await store.put(key, (b"", b"{}", b"\xff")[number % 3], 0)
        watcher = PrefixWatcher(
            store,
            "config/",
            FAST_SETTINGS,
            random.Random(1),
            lambda obj: outcomes.update({obj.key: state.apply(obj)}),
        )
        task = asyncio.create_task(watcher.run())
        async with asyncio.timeout(10):
            while not watcher.listed:
                await asyncio.sleep(0.01)
        for key in list(outcomes):
            await store.delete(key, store.table.get(key).version)
        async with asyncio.timeout(10):
            while watcher.version < store.table.version:
                await asyncio.sleep(0.01)
        self.assertFalse(task.done())
        task.cancel()
        self.assertEqual(len(outcomes), len(set(outcomes)))

    async def test_object_that_its_receiver_does_not_expect(self):
        """Guards against a watch that ends, so that no later change is applied."""
        store, found = MemoryStore(), []

        def receive(obj):
            if obj.key == "a/odd":
                raise KeyError(obj.key)
            found.append(obj.key)

        watcher = PrefixWatcher(store, "a/", FAST_SETTINGS, random.Random(1), receive)
        for key in ("a/1", "a/odd", "a/x"):
            await store.put(key, b"", 0)
        task = asyncio.create_task(watcher.run())
        async with asyncio.timeout(10):
            while not watcher.listed and not task.done():
                await asyncio.sleep(0.01)
        await store.put("a/odd", b"2", 2)
        await store.put("a/y", b"", 0)
        async with asyncio.timeout(10):
            while "a/y" not in found and not task.done():
                await asyncio.sleep(0.01)
        self.assertFalse(task.done())
        task.cancel()
        self.assertEqual(found, ["a/1", "a/x", "a/y"])

    def test_deeply_nested_values(self):
        """Guards against a watch or a reader that ends because of one value."""
        nested = b"[" * 100_000 + b"]" * 100_000
        for kind in (Claim, ClearingRecord, DeathRecord, LeaseRecord, StoredDeclaration):
            for value in (nested, b'{"x":' + nested + b"}"):
                with self.subTest(kind.__name__):
                    self.assertIsInstance(kind.decode(value), Failure | None)
        stored = StoredDeclaration("change", nested.decode())
        state = ConfigState()
        outcome = state.apply(StoredObject("config/rank/odd", stored.encode(), 1))
        self.assertIs(outcome, ObjectOutcome.REJECTED)

    def test_odd_page(self):
        """Guards against the same because of a field of the answer that cannot be read."""
        nested = b"[" * 100_000 + b"]" * 100_000
        sound = b'{"key":"a/1","value":"","version":1}'
        for odd in (rb'"objects":[{"key":"\ud800"},', rb'"x":"\ud800","objects":['):
            body = b"{" + odd + sound + b'],"version":1}'
            with self.subTest(odd):
                page = decode_rows(body, ObjectPageBody, "objects").to_page()
                self.assertEqual([obj.key for obj in page.objects], ["a/1"])
        for odd in (b'"objects":[' + nested, rb'"next_after":"\ud800","objects":[' + sound):
            with self.subTest(odd[:20]), self.assertRaises(msgspec.DecodeError):
                decode_rows(b"{" + odd + b'],"version":1}', ObjectPageBody, "objects")

    def test_odd_instance(self):
        """Guards against an instance list that is given up because of one row."""
        nested = b"[" * 100_000 + b"]" * 100_000
        sound = (
            b'{"name":"e1","kind":"engine","address":"10.0.0.1:1","data_centre":"d",'
            b'"region":"r"}'
        )
        for odd in (nested, b'{"name":' + nested + b"}"):
            body = b'{"instances":[' + odd + b"," + sound + rb'],"x":"\ud800"}'
            rows = decode_rows(body, InstanceListBody, "instances").decode_instances()
            self.assertEqual([row.name for row in rows], ["e1"])


class OddAddressTest(unittest.IsolatedAsyncioTestCase):
    async def test_address_of_another_instance(self):
        """Guards against a link to other instances that ends because of one address."""
        for address in (
            "",
            ":",
            "x",
            "127.0.0.1",
            "127.0.0.1:",
            "127.0.0.1:x",
            "127.0.0.1:70000",
            "127.0.0.1:-1",
            "a..b:1",
            "\x00:1",
            "x" * 70 + ".x:1",
            "[:1",
        ):
            with self.subTest(address), self.assertRaises(RpcError):
                await ThriftConnection.open(PeerService, address, LIMITS, 0.5)


if __name__ == "__main__":
    unittest.main()
