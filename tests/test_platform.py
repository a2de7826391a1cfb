"""Tests of the platform client against the stand-in over TCP, the watchers and `settle_write`."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import socket
import unittest
from unittest import mock

import aiosonic
import msgspec
from hypothesis import given
from hypothesis import settings as settings_of
from hypothesis import strategies as st
from memory_store import MemoryStore, StoreFault
from pydantic import TypeAdapter

from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.lenient_json import decode_rows
from sapphireledge.objects import (
    Instance,
    InstanceWatcher,
    ObjectClient,
    PrefixWatcher,
    WriteResult,
    WriteStatus,
    create_http_client,
    settle_write,
)
from sapphireledge.objects._private import InstanceListBody
from sapphireledge.settings import PlatformSettings, Settings
from sapphireledge_standins._platform_faults import Cut, FaultMode, PlatformFaults
from sapphireledge_standins._platform_objects import ObjectTable
from sapphireledge_standins.platform_server import PlatformServer, create_server

ENGINE_ROW = {"name": "e1", "kind": "engine", "address": "127.0.0.1:9", "data_centre": "akl-a"}
FAST_SETTINGS = PlatformSettings(url="-", watch_wait=0.1, retry_base=0.01, retry_cap=0.1)


def make_settings(port: int, instance: str = "akl-1") -> Settings:
    return TypeAdapter(Settings).validate_python(
        {
            "instance": instance,
            "data_centre": "akl-a",
            "region": "akl",
            "caller_address": {"port": 0},
            "peer_address": {"port": 0},
            "operator_address": {"port": 0},
            "platform": {"url": f"http://127.0.0.1:{port}", "timeout": 1.0, "retry_base": 0.02},
        }
    )


class PlatformClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a client that misinterprets the outcome of a platform call.

    An example is a write reported as refused although it may have taken effect.
    """

    async def asyncSetUp(self):
        self.platform = PlatformServer(history_writes=20)
        self.server = create_server(self.platform)
        sock = socket.create_server(("127.0.0.1", 0))
        self.port = sock.getsockname()[1]
        self.server_task = asyncio.create_task(self.server.serve(sockets=[sock]))
        self.client = ObjectClient(make_settings(self.port))

    async def asyncTearDown(self):
        self.platform.set_faults(PlatformFaults())
        self.server.should_exit = True
        await self.server_task

    async def test_conditional_writes_listing_and_limits(self):
        client = self.client
        first = await client.put("a/x y%/1", b"\x00\xff", 0)
        self.assertEqual(first, WriteResult(WriteStatus.WRITTEN, 1))
        again = await client.put("a/x y%/1", b"", 0)
        self.assertEqual(again, WriteResult(WriteStatus.CONFLICT, 1))
        self.assertEqual((await client.get("a/x y%/1")).value, b"\x00\xff")
        self.assertIsNone(await client.get("a/none"))
        self.assertEqual((await client.put("a/2", b"x" * 1_048_576, 0)).version, 2)
        with self.assertRaises(ValueError):
            await client.put("a/3", b"x" * 1_048_577, 0)
        await client.put("b/1", b"b", 0)
        page = await client.list("a/", limit=1)
        self.assertEqual([obj.key for obj in page.objects], ["a/2"])
        page = await client.list("a/", page.next_after)
        self.assertEqual([obj.key for obj in page.objects], ["a/x y%/1"])
        self.assertEqual(page.next_after, "")
        self.assertEqual((await client.delete("b/1", 1)).status, WriteStatus.CONFLICT)
        self.assertEqual((await client.delete("b/1", 3)).status, WriteStatus.WRITTEN)
        self.assertIsNone(await client.get("b/1"))
        self.assertEqual(self.platform.counts["put"], 4)

    async def test_watch_waits_reports_deletions_and_rejects_old_versions(self):
        waiting = asyncio.create_task(self.client.watch("a/", 0, 5))
        await asyncio.sleep(0.05)
        await self.client.put("b/1", b"", 0)
        await self.client.put("a/1", b"v", 0)
        page = await asyncio.wait_for(waiting, 1)
        self.assertEqual([(obj.key, obj.version) for obj in page.objects], [("a/1", 2)])
        await self.client.delete("a/1", 2)
        page = await self.client.watch("a/", page.version, 1)
        self.assertTrue(page.objects[0].deleted)
        for number in range(25):
            await self.client.put(f"c/{number}", b"", 0)
        self.assertEqual((await self.client.watch("a/", 3, 0)).kind, ErrorKind.NOT_FOUND)

    async def test_refused_write_is_unavailable_and_unanswered_write_is_ambiguous(self):
        for faults, status, took_effect in [
            (PlatformFaults(outage=FaultMode.REFUSE), WriteStatus.UNAVAILABLE, False),
            (PlatformFaults(outage=FaultMode.CLOSE), WriteStatus.AMBIGUOUS, False),
            (PlatformFaults(outage=FaultMode.HANG), WriteStatus.AMBIGUOUS, True),
            (PlatformFaults(lose_next_writes=1), WriteStatus.AMBIGUOUS, True),
            (PlatformFaults(lose_answers=1.0), WriteStatus.AMBIGUOUS, True),
            (PlatformFaults(delay=1.5), WriteStatus.AMBIGUOUS, True),
        ]:
            key = f"k/{msgspec.json.encode(faults).hex()[:200]}"
            self.platform.set_faults(faults)
            self.assertEqual((await self.client.put(key, b"", 0)).status, status, faults)
            self.platform.set_faults(PlatformFaults())
            await asyncio.sleep(0.05)
            self.assertEqual(await self.client.get(key) is not None, took_effect, faults)
        closed = socket.create_server(("127.0.0.1", 0))
        client = ObjectClient(make_settings(closed.getsockname()[1]))
        closed.close()
        self.assertEqual((await client.put("k", b"", 0)).status, WriteStatus.UNAVAILABLE)

    async def test_late_response_is_not_read_by_another_call(self):
        await self.client.put("k/1", b"one", 0)
        await self.client.put("k/2", b"two", 0)
        self.platform.set_faults(PlatformFaults(delay=1.2))
        self.assertIsInstance(await self.client.get("k/1"), Failure)
        self.platform.set_faults(PlatformFaults())
        objects = await asyncio.gather(*(self.client.get("k/2") for _ in range(20)))
        self.assertEqual({obj.value for obj in objects}, {b"two"})

    async def test_cut_applies_to_one_instance(self):
        self.platform.set_faults(PlatformFaults(cuts=(Cut("akl-1", "", FaultMode.REFUSE),)))
        other = ObjectClient(make_settings(self.port, "akl-2"))
        self.assertIsInstance(await self.client.get("k"), Failure)
        self.assertIsNone(await other.get("k"))

    async def test_instances_and_admin_over_http(self):
        admin = create_http_client(4)
        url = f"http://127.0.0.1:{self.port}/admin"
        row = {**ENGINE_ROW, "region": "akl", "state": "live", "role": "drafting"}
        seen: list[tuple[Instance, ...]] = []
        watcher = InstanceWatcher(self.client, FAST_SETTINGS, random.Random(1), seen.append)
        for state in ("live", "leaving"):
            body = msgspec.json.encode([{**row, "state": state}])
            self.assertEqual((await admin.put(f"{url}/instances", body)).status_code, 200)
            await watcher.poll()
        self.assertEqual([instances[0].state for instances in seen], ["live", "leaving"])
        lagging = b'{"instance_lag": 60, "outage": "none"}'
        await admin.put(f"{url}/faults", lagging)
        await watcher.poll()
        self.assertEqual(seen[-1][0].state, "live")
        self.assertEqual((await admin.put(f"{url}/faults", b'{"outag": 1}')).status_code, 400)
        counts = msgspec.json.decode(await (await admin.get(f"{url}/counts")).content())
        self.assertEqual(counts, {"instances": 3})

    async def test_watcher_reports_outage_and_resumes_without_listing(self):
        seen, states = [], []
        watcher = PrefixWatcher(
            self.client,
            "c/",
            make_settings(self.port).platform,
            random.Random(1),
            seen.append,
            states.append,
        )
        task = asyncio.create_task(watcher.run())
        await self.client.put("c/1", b"", 0)
        await self._wait_until(lambda: len(seen) == 1)
        self.platform.set_faults(PlatformFaults(outage=FaultMode.REFUSE))
        await self._wait_until(lambda: states == [True, False])
        self.platform.set_faults(PlatformFaults())
        await self.client.put("c/2", b"", 0)
        await self._wait_until(lambda: len(seen) == 2)
        self.assertEqual(states, [True, False, True])
        self.assertEqual(self.platform.counts["list"], 1)
        task.cancel()

    async def _wait_until(self, condition):
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        self.fail("condition not met within 5 s")


class InstanceListTest(unittest.TestCase):
    def test_odd_row_does_not_hide_the_others(self):
        """Guards against an instance list that is given up because of one row."""
        sound = (
            b'{"name":"e1","kind":"engine","address":"10.0.0.1:1","data_centre":"d",'
            b'"region":"r"}'
        )
        for odd in (
            b'{"name":1}',
            b"1e999",
            b'{"name":"e2","kind":"other"}',
            b'"\xff"',
            rb'{"name":"\ud800"}',
        ):
            body = b'{"instances":[' + odd + b"," + sound + b"]}"
            rows = decode_rows(body, InstanceListBody, "instances").decode_instances()
            self.assertEqual([row.name for row in rows], ["e1"])


class SingleUseConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against the HTTP library sending a request again after its connection broke."""

    async def test_request_on_a_broken_connection_is_sent_once(self):
        seen = []

        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                while head := await reader.readuntil(b"\r\n\r\n"):
                    length = re.search(rb"(?i)content-length: (\d+)", head)
                    await reader.readexactly(int(length[1]) if length else 0)
                    seen.append(head.split()[0])
                    if seen[-1] == b"PUT":
                        return writer.close()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        client = create_http_client(1)
        await (await client.get(url)).content()
        with self.assertRaises(aiosonic.exceptions.ConnectionDisconnected):
            await client.put(url, b"x")
        self.assertEqual(seen, [b"GET", b"PUT"])
        server.close()


class SettleWriteTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a wrong result for a write whose response was lost.

    Delayed copies of the write and a competing write arrive at any point of the resolution.
    """

    @given(
        faults=st.lists(st.sampled_from(StoreFault), max_size=6),
        competing_call=st.integers(-1, 4),
        arrival_call=st.integers(0, 6),
    )
    def test_result_is_correct_however_late_the_copies_arrive(
        self, faults, competing_call, arrival_call
    ):
        asyncio.run(self.run_settle_write(faults, competing_call, arrival_call))

    async def run_settle_write(self, faults, competing_call, arrival_call):
        pending, calls, table = list(faults), [], ObjectTable(100, 1_000)

        def fault(operation, key):
            calls.append(operation)
            if len(calls) == competing_call:
                table.put("k", b"rival", 0)
            if len(calls) == arrival_call:
                store.apply_late_writes()
            kind = pending.pop(0) if pending else StoreFault.NONE
            return kind

        store = MemoryStore(table, fault)
        result = await settle_write(store, "k", b"mine", "mine", 0, 5.0, 0.0)
        store.apply_late_writes()
        stored = table.get("k")
        if result.status is WriteStatus.WRITTEN:
            self.assertEqual((stored.value, stored.version), (b"mine", result.version))
        elif result.status is WriteStatus.CONFLICT:
            self.assertEqual(stored.value, b"rival")
        else:
            self.assertEqual(result.status, WriteStatus.UNAVAILABLE)
            self.assertTrue(stored is None or stored.value == b"rival")


class PrefixWatcherTest(unittest.TestCase):
    """Guards against delivering an older version after a newer one, and against missing a write.

    Writes, deletions and outages happen at any point of the listing and the watch.
    """

    @settings_of(max_examples=400)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["put", "put", "delete", "fail", "yield"]), st.integers(0, 2)
            ),
            max_size=40,
        )
    )
    @mock.patch("sapphireledge.objects.prefix_watcher.PAGE_SIZE", 1)
    def test_delivers_the_final_state_and_never_an_older_version(self, steps):
        asyncio.run(self.run_steps(steps))

    async def run_steps(self, steps):
        failing = [False]
        table = ObjectTable(2, 1_000)
        store = MemoryStore(table)
        store.fault = lambda *_: StoreFault.REFUSED if failing[0] else StoreFault.NONE
        delivered: dict[str, tuple[int, bool]] = {}

        def on_object(obj):
            self.assertGreater(obj.version, delivered.get(obj.key, (0, False))[0])
            delivered[obj.key] = obj.version, obj.deleted

        cfg = PlatformSettings(url="-", retry_base=0.01, retry_cap=0.1)
        watcher = PrefixWatcher(store, "p/", cfg, random.Random(0), on_object)
        watcher._back_off = lambda: asyncio.sleep(0)
        task = asyncio.create_task(watcher.run())
        for step, number in steps:
            key = f"p/{number}"
            row = table.get(key)
            if step == "put":
                table.put(key, b"", row.version if row else 0)
            elif step == "delete" and row:
                table.delete(key, row.version)
            elif step == "fail":
                failing[0] = not failing[0]
            elif step == "yield":
                for _ in range(number + 1):
                    await asyncio.sleep(0)
        failing[0] = False
        for _ in range(80):
            await asyncio.sleep(0)
        task.cancel()
        live = {key: version for key, (version, deleted) in delivered.items() if not deleted}
        rows = table.list("p/", "", 10).objects
        self.assertEqual(live, {row.key: row.version for row in rows})
