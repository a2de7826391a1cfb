"""Tests of applying changes and of the declarations in force."""

from __future__ import annotations

import asyncio
import random
import unittest
import uuid
from itertools import pairwise
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import settings as settings_of
from hypothesis import strategies as st
from memory_store import MemoryStore, StoreFault

from sapphireledge.core.config import (
    ApplyResult,
    Author,
    Change,
    ChangeApplier,
    ConfigState,
    ObjectOutcome,
    StoredDeclaration,
    config_key,
)
from sapphireledge.errors import ConflictFailure, ErrorKind, Failure, Ran
from sapphireledge.objects import PrefixWatcher, StoredObject
from sapphireledge.settings import PlatformSettings
from sapphireledge_standins._platform_objects import ObjectTable

CFG = PlatformSettings(url="-", timeout=0.5, retry_base=0.01, retry_cap=0.1)
AUTHOR = Author("ida", "test")


def spec(name: str, weight: float) -> str:
    return msgspec.json.encode({"weight": weight, "name": name}).decode()


def change(number: int, weight: float, base: int, name: str = "w", **more) -> Change:
    return Change(str(uuid.UUID(int=number)), "workspace", name, spec(name, weight), base, **more)


def stored(name: str, version: int, weight: float | None, deleted: bool = False) -> StoredObject:
    text = "{}" if weight is None else spec(name, weight)
    value = StoredDeclaration("c", "" if deleted else text, deleted).encode()
    return StoredObject(config_key("workspace", name), value, version)


class ChangeApplierTest(unittest.IsolatedAsyncioTestCase):
    """Guards against changes that are lost, applied twice or reported with a wrong outcome."""

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.applier = ChangeApplier(self.store, CFG, clock_unix=lambda: 5.0)

    async def apply(self, *args, **more):
        return await self.applier.apply(change(*args, **more), AUTHOR)

    async def test_change_conflict_repetition_and_equal_content(self):
        first = await self.apply(1, 1.5, 0)
        self.assertEqual((first.changed, first.version), (True, 2))
        self.assertEqual(await self.apply(1, 1.5, 0), first)
        conflict = await self.apply(2, 2.0, 0)
        self.assertIsInstance(conflict, ConflictFailure)
        self.assertEqual((conflict.base_version, conflict.current_version), (0, 2))
        same = await self.apply(3, 1.5, 2)
        self.assertEqual((same.changed, same.version), (False, 2))
        second = await self.apply(4, 2.0, 2)
        self.assertEqual(await self.apply(1, 1.5, 0), first)
        self.assertEqual(await self.apply(3, 1.5, 2), same)
        other = await self.apply(1, 9.0, 0)
        self.assertEqual(other.kind, ErrorKind.INVALID_REQUEST)
        history = await self.applier.history("workspace", "w", 10)
        self.assertEqual([record.version for record in history], [second.version, 2])
        self.assertEqual(history[0].before, history[1].after)
        self.assertEqual((history[0].who, history[0].when_unix), ("ida", 5.0))

    async def test_deletion_leaves_a_tombstone_and_reapply_restores(self):
        first = await self.apply(1, 1.5, 0)
        gone = await self.apply(2, 0, first.version, deleted=True)
        self.assertEqual(await self.apply(2, 0, first.version, deleted=True), gone)
        back = await self.applier.reapply(
            str(uuid.UUID(int=1)), str(uuid.UUID(int=3)), gone.version, AUTHOR
        )
        self.assertTrue(back.changed)
        history = await self.applier.history("workspace", "w", 10)
        self.assertEqual([bool(record.after) for record in history], [True, False, True])
        missing = await self.applier.reapply("x", str(uuid.UUID(int=4)), 0, AUTHOR)
        self.assertEqual(missing.kind, ErrorKind.NOT_FOUND)

    async def test_invalid_changes_are_rejected_before_any_write(self):
        for wrong in (
            Change("x", "workspace", "w", spec("w", 1), 0),
            change(1, 1, 0, name="a/b"),
            change(1, -1, 0),
            Change(str(uuid.UUID(int=1)), "planet", "w", "{}", 0, deleted=True),
        ):
            refusal = await self.applier.apply(wrong, AUTHOR)
            self.assertEqual(refusal.kind, ErrorKind.INVALID_REQUEST)
        self.assertEqual(self.store.calls["put"], 0)

    async def test_diff_ignores_defaults_and_order(self):
        await self.apply(1, 1.5, 0)
        equal = Change("", "workspace", "w", '{"name":"w","ranks":[],"weight":1.5}', 0)
        entries = await self.applier.diff([equal, change(2, 2, 0), change(3, 1, 0, name="v")])
        self.assertEqual([(entry.name, entry.version) for entry in entries], [("w", 2), ("v", 0)])

    async def test_outage_reports_no_false_outcome(self):
        self.store.fault = lambda *_: StoreFault.REFUSED
        self.assertEqual((await self.apply(1, 1, 0)).kind, ErrorKind.PLATFORM_UNAVAILABLE)
        self.store.fault = lambda op, key: (
            StoreFault.LATE if op == "put" and key.startswith("config/") else StoreFault.NONE
        )
        self.assertEqual((await self.apply(1, 1, 0)).ran, Ran.UNKNOWN)
        self.store.fault = lambda *_: StoreFault.NONE
        self.store.apply_late_writes()
        self.assertTrue((await self.apply(1, 1, 0)).changed)

    @settings_of(max_examples=200)
    @given(seed=st.integers(0, 1 << 32), operators=st.integers(2, 4), faulty=st.booleans())
    def test_concurrent_operators_lose_no_change(self, seed, operators, faulty):
        asyncio.run(self.race(random.Random(seed), operators, faulty))

    async def race(self, rng, operators, faulty):
        kinds = [StoreFault.NONE] * 12 + (list(StoreFault) if faulty else [])
        table = ObjectTable(100, 1 << 20)
        stores = [MemoryStore(table, lambda *_: rng.choice(kinds), rng) for _ in range(operators)]
        outcomes: dict[str, tuple[Change, ApplyResult | Failure]] = {}
        cfg = PlatformSettings(url="-", timeout=5, retry_base=0.01)
        appliers = [ChangeApplier(store, cfg) for store in stores]

        async def operate(number):
            for step in range(3):
                row = table.get(config_key("workspace", "w"))
                wanted = change(
                    number * 10 + step, rng.choice([1, 2, 3]), row.version if row else 0
                )
                for _ in range(20):
                    # Each retry goes to a random entry, as with an operator's client.
                    found = await rng.choice(appliers).apply(wanted, AUTHOR)
                    if not isinstance(found, Failure) or found.kind is ErrorKind.CONFLICT:
                        break
                outcomes[wanted.operation_id] = wanted, found

        await asyncio.gather(*(operate(number) for number in range(operators)))
        for store in stores:
            store.apply_late_writes()
            store.fault = lambda *_: StoreFault.NONE
        history = await appliers[0].history("workspace", "w", 100)
        chain = {record.operation_id: record for record in history}
        self.assertEqual(len(chain), len(history))
        for newer, older in pairwise(history):
            self.assertEqual((newer.base_version, newer.before), (older.version, older.after))
        for operation_id, (wanted, found) in outcomes.items():
            if isinstance(found, ApplyResult) and found.changed:
                self.assertEqual(chain[operation_id].version, found.version)
            elif isinstance(found, ConflictFailure | ApplyResult):
                self.assertNotIn(operation_id, chain)
            again = await appliers[0].apply(wanted, AUTHOR)
            if isinstance(found, ApplyResult):
                self.assertEqual(again, found)
            elif isinstance(found, ConflictFailure):
                self.assertEqual(again.kind, ErrorKind.CONFLICT)


class ConfigStateTest(unittest.TestCase):
    """Guards against reverting to older versions, and against becoming ready too early."""

    def test_invalid_object_keeps_last_valid_version_and_reaches_peers(self):
        state, peer = ConfigState(), ConfigState()
        self.assertEqual(state.apply(stored("w", 3, 1.5)), ObjectOutcome.APPLIED)
        self.assertEqual(state.apply(stored("w", 5, None)), ObjectOutcome.REJECTED)
        self.assertEqual(state.apply(stored("w", 4, 4.0)), ObjectOutcome.OLDER)
        state.mark_synced_to(7)
        self.assertTrue(peer.apply_peer_objects(0, state.objects_since(0), state.applied_version))
        for one in (state, peer):
            self.assertEqual(one.workspaces["w"].weight, 1.5)
            self.assertEqual((one.applied_version, len(one.rejected)), (5, 1))
            self.assertTrue(one.is_ready)
        self.assertEqual(state.apply(stored("w", 6, 0, deleted=True)), ObjectOutcome.APPLIED)
        self.assertEqual((dict(state.workspaces), state.rejected), ({}, {}))

    def test_new_entry_is_ready_only_at_the_highest_known_version(self):
        state = ConfigState()
        self.assertFalse(state.is_ready)
        state.observe_version(9)
        state.apply(stored("b", 8, 1))
        self.assertEqual(state.applied_version, 0)
        state.mark_synced_to(20)
        self.assertEqual((state.applied_version, state.is_ready), (8, False))
        self.assertFalse(
            state.apply_peer_objects(9, (), 9), "objects since a later version leave a gap"
        )
        self.assertTrue(state.apply_peer_objects(8, (stored("a", 9, 1),), 9))
        self.assertTrue(state.is_ready)

    @settings_of(max_examples=150)
    @given(seed=st.integers(0, 1 << 32))
    @mock.patch("sapphireledge.objects.prefix_watcher.PAGE_SIZE", 1)
    def test_versions_never_decrease_with_outages_and_peer_sync(self, seed):
        asyncio.run(self.follow(random.Random(seed)))

    async def follow(self, rng):
        table = ObjectTable(6, 1 << 20)
        partitioned = [False, False, False]
        stores = [MemoryStore(table, None, rng) for _ in partitioned]
        states = [ConfigState() for _ in partitioned]
        tasks = []
        for index, (store, state) in enumerate(zip(stores, states, strict=True)):
            store.fault = lambda *_, index=index: (
                StoreFault.REFUSED if partitioned[index] else StoreFault.NONE
            )
            watcher = PrefixWatcher(
                store, "config/", CFG, rng, state.apply, on_synced=state.mark_synced_to
            )
            watcher._back_off = lambda: asyncio.sleep(0)
            tasks.append(asyncio.create_task(watcher.run()))
        seen = [{} for _ in partitioned]
        for _ in range(60):
            self.write(rng, table)
            if rng.random() < 0.2:
                partitioned[rng.randrange(3)] ^= True
            if rng.random() < 0.3:
                requester, peer = rng.sample(states, 2)
                since = requester.applied_version
                part = peer.objects_since(since), peer.applied_version
                requester.apply_peer_objects(since, *part)
            for _ in range(rng.randrange(6)):
                await asyncio.sleep(0)
            for state, versions in zip(states, seen, strict=True):
                self.check(state, versions, table)
        partitioned[:] = [False] * 3
        for _ in range(200):
            await asyncio.sleep(0)
        for task in tasks:
            task.cancel()
        newest = {row.key: row.version for row in table.list("config/", "", 10).objects}
        for state in states:
            found = {key: entry.latest.version for key, entry in state._entries.items()}
            self.assertEqual(found, newest)
            self.assertEqual(state.applied_version, max(newest.values(), default=0))

    def write(self, rng, table):
        name = rng.choice("abc")
        key = config_key("workspace", name)
        row = table.get(key)
        weight = rng.choice([None, 1.0, 2.0])
        value = stored(name, 0, weight, deleted=rng.random() < 0.2).value
        table.put(key, value, row.version if row else 0)

    def check(self, state, versions, table):
        for key, entry in state._entries.items():
            self.assertGreaterEqual(entry.latest.version, versions.get(key, 0))
            versions[key] = entry.latest.version
        for row in table.list("config/", "", 10).objects:
            if row.version <= state.applied_version:
                self.assertEqual(state._entries[row.key].latest.version, row.version)
