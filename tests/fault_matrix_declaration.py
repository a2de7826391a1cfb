"""Fault matrix cells of a declaration's life cycle, on the real applier, watcher and state."""

from __future__ import annotations

import asyncio
import random
from itertools import pairwise
from typing import TYPE_CHECKING
from unittest import mock

from fault_matrix_cells import Fault
from memory_store import MemoryStore, StoreFault
from test_config import AUTHOR, change

from sapphireledge.core.config import ApplyResult, ChangeApplier, ConfigState, config_key
from sapphireledge.errors import ConflictFailure, Failure
from sapphireledge.objects import PrefixWatcher
from sapphireledge.settings import PlatformSettings
from sapphireledge_standins._platform_objects import ObjectTable

if TYPE_CHECKING:
    from fault_matrix_cells import Cell

CFG = PlatformSettings(url="-", timeout=0.5, retry_base=0.01, retry_cap=0.1)
ENTRIES = 3
TURNS = 60
"""Turns of the event loop in which every watch completes at least one call."""

FAULTY_WRITES = 1
"""Number of writes that are late or lose their answer; refusals last until healing."""

REFUSING = (Fault.PLATFORM_OUTAGE, Fault.PLATFORM_PARTITION)
LATE = (Fault.PLATFORM_SLOW, Fault.LATE)
LOST = (Fault.WRITE_ANSWER_LOST, Fault.SILENT_CONNECTION)

WRITER_PAUSED = (Fault.ENTRY_PAUSES, Fault.LEASE_EXPIRES, Fault.OPERATORS_RACE, Fault.REORDERED)
"""Faults in which the writer is paused between a read and its next write."""

STALE = (Fault.LATE, Fault.DUPLICATE, Fault.REORDERED, Fault.ENTRY_PARTITION, Fault.ENTRY_PAUSES)
"""Faults in which a peer's answer from before the change arrives at the end."""


class GatedStore(MemoryStore):
    """Store whose writes can be held back before they are sent."""

    def __init__(self, table: ObjectTable, fault, before) -> None:
        super().__init__(table, fault)
        self.before = before
        self.gate = asyncio.Event()
        self.gate.set()

    async def put(self, key, value, expect_version):
        self.before(key)
        await self.gate.wait()
        return await super().put(key, value, expect_version)


class DeclarationCell:
    """One change from write to activation at three entries, with faults at one step."""

    def __init__(self, cell: Cell):
        self.cell = cell
        self.table = ObjectTable(100, 1 << 20)
        self.stores = [
            GatedStore(self.table, self.fault_source_of(entry), self.write_hook_of(entry))
            for entry in range(ENTRIES)
        ]
        self.appliers = [ChangeApplier(store, CFG) for store in self.stores]
        self.states = [ConfigState() for _ in self.stores]
        self.seen_versions: list[dict[str, int]] = [{} for _ in self.stores]
        self.tasks: dict[int, asyncio.Task] = {}
        self.injected = self.healed = False
        self.writes = 0
        self.outcomes: list = []
        self.rival_writes: list[asyncio.Task] = []
        self.stale_objects: tuple = ()

    def run(self) -> None:
        with mock.patch("asyncio.sleep", _turn):
            asyncio.run(self.run_life_cycle())

    def fault_source_of(self, entry: int):
        """Builds the function that selects the faults of an entry's store."""
        return lambda operation, key: self.current_fault(entry, operation)

    def write_hook_of(self, entry: int):
        """Builds the hook that detects the steps in which entry 0 writes."""

        def before(key: str) -> None:
            if entry == 0:
                self.reach(
                    "record being written" if key.startswith("changes/") else "object being written"
                )

        return before

    def current_fault(self, entry: int, operation: str) -> StoreFault:
        if not self.injected or self.healed:
            return StoreFault.NONE
        for fault in self.cell.faults:
            if fault is Fault.PLATFORM_OUTAGE or (fault in REFUSING and entry == 0):
                return StoreFault.REFUSED
            if operation != "put" or self.writes >= FAULTY_WRITES:
                continue
            if fault in LATE or fault in LOST:
                self.writes += 1
                return StoreFault.LATE if fault in LATE else StoreFault.LOST_ANSWER
        return StoreFault.NONE

    async def run_life_cycle(self) -> None:
        """Creates a declaration, changes it under faults, heals them and checks the result."""
        base = await self.appliers[1].apply(change(1, 1.0, 0), AUTHOR)
        assert isinstance(base, ApplyResult)
        for entry in range(ENTRIES):
            self.start_watch(entry)
        await self.turns()
        self.stale_objects = self.states[1].objects_since(0)
        self.wanted = change(2, 2.0, base.version)
        self.writing = asyncio.create_task(self.appliers[0].apply(self.wanted, AUTHOR))
        await self.wait_for_record()
        self.reach("record written")
        await self.wait_for_write()
        self.reach("accepted")
        await self.turns(3)
        self.reach("in force at some entries")
        await self.turns()
        self.reach("in force everywhere")
        await self.turns()
        await self.heal()
        await self.check()
        for task in self.tasks.values():
            task.cancel()

    async def wait_for_record(self) -> None:
        key = f"changes/{self.wanted.operation_id}"
        for _ in range(TURNS):
            if self.table.get(key) is not None or self.writing.done():
                return
            await self.turns(1)

    async def wait_for_write(self) -> None:
        """Waits for the end of the write, but not for one that is paused until healing."""
        for _ in range(TURNS):
            if self.writing.done():
                break
            await self.turns(1)

    # Faults.

    def reach(self, step: str) -> None:
        if step == self.cell.step and not self.injected:
            self.injected = True
            for fault in self.cell.faults:
                self.inject(fault)

    def inject(self, fault: Fault) -> None:
        if fault in WRITER_PAUSED:
            self.stores[0].gate.clear()
        match fault:
            case Fault.ENTRY_DIES:
                # The process dies between two steps of the write and restarts with empty state.
                self.writing.cancel()
                self.stop_watch(0)
                self.states[0], self.seen_versions[0] = ConfigState(), {}
            case Fault.ENTRY_PAUSES | Fault.LEASE_EXPIRES:
                self.stop_watch(0)
                self.start_rival(1, 3)
            case Fault.ENTRY_PARTITION | Fault.PLATFORM_PARTITION:
                self.stop_watch(0)
            case Fault.OPERATORS_RACE | Fault.REORDERED:
                self.start_rival(1, 3)
                self.start_rival(2, 4)
            case Fault.DUPLICATE:
                # The same operation reaches two entries.
                self.rival_writes.append(
                    asyncio.create_task(self.appliers[1].apply(self.wanted, AUTHOR))
                )
            case Fault.FLOOD_LEAST | Fault.FLOOD_MOST:
                for number in range(20):
                    other = change(100 + number, 1.0, 0, name=f"other-{number}")
                    self.rival_writes.append(
                        asyncio.create_task(self.appliers[2].apply(other, AUTHOR))
                    )

    def start_rival(self, entry: int, number: int) -> None:
        """Lets another operator change the same declaration on the same base version."""
        other = change(number, float(number), self.wanted.base_version)
        self.rival_writes.append(asyncio.create_task(self.submit(entry, other)))

    async def submit(self, entry: int, other) -> None:
        self.outcomes.append((other, await self.appliers[entry].apply(other, AUTHOR)))

    def start_watch(self, entry: int) -> None:
        state = self.states[entry]
        watcher = PrefixWatcher(
            self.stores[entry],
            "config/",
            CFG,
            random.Random(0),
            state.apply,
            on_synced=state.mark_synced_to,
        )
        watcher._back_off = lambda: _turn(0)
        self.tasks[entry] = asyncio.create_task(watcher.run())

    def stop_watch(self, entry: int) -> None:
        task = self.tasks.pop(entry, None)
        if task is not None:
            task.cancel()

    async def heal(self) -> None:
        self.healed = True
        for store in self.stores:
            store.apply_late_writes()
        # A paused writer resumes after its rivals have finished.
        await asyncio.gather(*self.rival_writes, return_exceptions=True)
        self.stores[0].gate.set()
        await asyncio.wait([self.writing])
        if not self.writing.cancelled():
            self.outcomes.append((self.wanted, self.writing.result()))
        # Reordered and duplicate answers of peers arrive before and after those of the watch.
        for since in (0, self.states[0].applied_version):
            for peer in reversed(self.states):
                self.states[0].apply_peer_objects(
                    since, peer.objects_since(since), peer.applied_version
                )
        if 0 not in self.tasks:
            self.start_watch(0)
        await self.turns()
        if set(STALE) & set(self.cell.faults):
            for state in self.states:
                state.apply_peer_objects(0, self.stale_objects, 1)
        await self.turns()

    async def turns(self, count: int = TURNS) -> None:
        for _ in range(count):
            await _turn(0)
            self.check_versions()

    # Properties.

    def check_versions(self) -> None:
        for state, versions in zip(self.states, self.seen_versions, strict=True):
            for key, entry in state._entries.items():
                assert entry.latest.version >= versions.get(
                    key, 0
                ), "an older version replaced a newer one"
                versions[key] = entry.latest.version

    async def check(self) -> None:
        assert self.injected, "the step was not reached"
        await asyncio.gather(*self.rival_writes, return_exceptions=True)
        # The operator repeats the operation to learn its outcome.
        self.outcomes.append((self.wanted, await self.appliers[1].apply(self.wanted, AUTHOR)))
        await self.turns()
        history = await self.appliers[2].history("workspace", "w", 100)
        assert not isinstance(history, Failure), history
        accepted = {record.operation_id: record for record in history}
        assert len(accepted) == len(history), "a change was accepted twice"
        for newer, older in pairwise(history):
            assert newer.base_version == older.version, "a change on another base was accepted"
        assert history[-1].base_version == 0, "the chain lost a change"
        for wanted, result in self.outcomes:
            if isinstance(result, ApplyResult):
                kept = accepted.get(wanted.operation_id)
                assert kept and kept.version == result.version, "an accepted change was lost"
            elif isinstance(result, ConflictFailure):
                assert wanted.operation_id not in accepted, "a refused change was accepted"
        self.check_in_force()

    def check_in_force(self) -> None:
        newest = {row.key: row.version for row in self.table.list("config/", "", 100).objects}
        for state in self.states:
            versions = {key: entry.latest.version for key, entry in state._entries.items()}
            assert versions == newest, "the newest version is not in force"
            assert state.is_ready, "an entry is not ready"
            assert state.version_of("workspace", "w") == newest[config_key("workspace", "w")]


_sleep = asyncio.sleep


async def _turn(_seconds: float, *_: object) -> None:
    """Replaces asyncio.sleep: yields to the other tasks once, so that waits end immediately."""
    await _sleep(0)
