"""Tests of the crash reports that instances share over the platform's store."""

from __future__ import annotations

import asyncio
import contextlib
import time
import unittest

from sapphireledge.core.quarantine import CrashReport, DeathRecord
from sapphireledge.feed import SourceError, StoredEntry, StoredVersion, StoreEpoch
from sapphireledge.gateway import (
    CrashGuard,
    GatewayMetrics,
    QuarantineSettings,
    RequestTelemetry,
)
from sapphireledge.platform.crash_report_listener import CrashReportListener
from sapphireledge.platform.crash_report_writer import CRASH_REPORT_KIND, CrashReportWriter
from sapphireledge.platform.store_client import StoreClient
from sapphireledge.platform.store_settings import StoreSettings
from soak.store import Store


class MemoryStore:
    """Holds crash reports, passes them to listeners and can fail, with or without an effect."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[object, int]] = {}
        self.listeners: list[CrashReportListener] = []
        self.down = False
        self.lose_answers = False
        self.writes = 0
        self.revision = 100

    async def write(self, kind: str, name: str, spec: object, revision: int | None):
        """Implements `StoreClient.write`."""
        if self.down:
            raise SourceError("down")
        self.writes += 1
        known = self.objects.get(name)
        if known is not None and known[1] != revision:
            return StoredVersion(known[0], known[1], False)
        self.revision += 1
        self.objects[name] = (spec, self.revision)
        for listener in self.listeners:
            listener.apply([StoredEntry(name, spec)])
        if self.lose_answers:
            self.lose_answers = False
            raise SourceError("no answer")
        return StoredVersion(spec, self.revision, True)

    def close(self) -> None:
        """Implements `StoreClient.close`."""


def death(number: int, **begun: tuple[str, ...]) -> DeathRecord:
    at = time.time() - 10.0 + 2.0 * number
    return DeathRecord(f"e{number}", "1", at, tuple(sorted(begun)), begun=begun)


class CrashReportsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.tasks = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def start(self, name: str, listen: bool = True) -> CrashGuard:
        guard = CrashGuard(QuarantineSettings(), RequestTelemetry(GatewayMetrics()))
        if listen:
            listener = CrashReportListener(guard)
            listener.replace_all([StoredEntry(n, o[0]) for n, o in self.store.objects.items()])
            self.store.listeners.append(listener)
        writer = CrashReportWriter(self.store, guard, name)
        self.tasks.append(asyncio.create_task(writer.run()))
        return guard

    def detect(self, guard: CrashGuard, record: DeathRecord) -> None:
        guard.quarantine.on_engine_death(time.time(), record)
        guard.on_death(record)

    async def wait_until(self, condition, limit: float = 4.0) -> float:
        started = time.monotonic()
        while not condition():
            self.assertLess(time.monotonic() - started, limit)
            await asyncio.sleep(0.02)
        return time.monotonic() - started

    def is_condemned(self, guard: CrashGuard, part: str) -> bool:
        return part in guard.quarantine.crashing_parts(time.time())

    async def test_deaths_at_several_instances_condemn_a_part_everywhere(self):
        """Guards against instances that each wait for enough deaths of their own."""
        guards = [self.start(f"front-{i}") for i in range(4)]
        for i in range(3):
            self.detect(guards[i], death(i, **{f"r{i}": ("a", "bad")}))
        await self.wait_until(lambda: all(self.is_condemned(g, "bad") for g in guards), 1.0)
        self.assertLessEqual(self.store.writes, 3)

    async def test_survival_at_one_instance_clears_the_part_everywhere(self):
        """Guards against refusing sound requests at instances that have not seen one survive."""
        guards = [self.start(f"front-{i}") for i in range(3)]
        guards[2].quarantine.on_survived(time.time(), ("a",))
        for i in range(3):
            self.detect(guards[0], death(i, **{f"r{i}": ("a", f"b{i}")}))
        await self.wait_until(lambda: not any(self.is_condemned(g, "a") for g in guards[:2]), 2.5)

    async def test_restarted_instance_keeps_the_deaths_that_it_had_shared(self):
        """Guards against an instance that replaces its own report after a restart."""
        first = self.start("front-0")
        self.detect(first, death(0, r0=("bad",)))
        self.detect(first, death(1, r1=("bad",)))
        await self.wait_until(lambda: "front-0" in self.store.objects)
        # The new incarnation detects a death before it has read any report.
        second = self.start("front-0", listen=False)
        self.detect(second, death(2, r2=("bad",)))
        await self.wait_until(lambda: len(self.stored("front-0").deaths) == 3)

    async def test_outage_and_lost_answer_delay_a_report(self):
        """Guards against deaths that are never shared because one write failed."""
        guard, other = self.start("front-0"), self.start("front-1")
        self.store.down = True
        for i in range(3):
            self.detect(guard, death(i, **{f"r{i}": ("bad",)}))
        await asyncio.sleep(1.0)
        self.store.down = False
        self.store.lose_answers = True
        await self.wait_until(lambda: self.is_condemned(other, "bad"))
        # Longer than the pause after a write without an answer.
        await asyncio.sleep(2.5)
        self.assertEqual(len(self.stored("front-0").deaths), 3)
        self.assertEqual(self.store.writes, 2)

    async def test_unreadable_and_misdated_reports_are_ignored(self):
        """Guards against a report of another writer that stops the others or clears for good."""
        guard = self.start("front-0")
        future = {"fingerprint": "part:bad", "time_unix": time.time() + 1e6}
        for spec in (None, 3, {"deaths": [{"x": 1}]}, {"clearings": [future]}):
            self.store.listeners[0].apply([StoredEntry("odd", spec)])
        for i in range(3):
            self.detect(guard, death(i, **{f"r{i}": ("bad",)}))
        self.assertTrue(self.is_condemned(guard, "bad"))

    async def test_operator_lifts_a_part(self):
        """Guards against a refused part that operators cannot accept again."""
        guard = self.start("front-0")
        for i in range(3):
            self.detect(guard, death(i, **{f"r{i}": ("bad",)}))
        lift = {"fingerprint": "part:bad", "time_unix": time.time(), "who": "ops", "why": "fixed"}
        self.store.listeners[0].apply([StoredEntry("lift-1", {"clearings": [lift]})])
        self.assertFalse(self.is_condemned(guard, "bad"))

    def stored(self, name: str) -> CrashReport:
        report = CrashReport.from_builtins(self.store.objects[name][0])
        self.assertIsInstance(report, CrashReport)
        return report


class StoreWriteTest(unittest.IsolatedAsyncioTestCase):
    async def test_conditional_writes(self):
        """Guards against a write that replaces a version which the writer has not seen."""
        store = Store()
        await store.start()
        client = StoreClient(StoreSettings("127.0.0.1", store.port), StoreEpoch())
        self.addCleanup(client.close)
        first = await client.write(CRASH_REPORT_KIND, "f", {"n": 1}, None)
        self.assertTrue(first.written)
        conflict = await client.write(CRASH_REPORT_KIND, "f", {"n": 2}, None)
        self.assertEqual(
            conflict, StoredVersion({"n": 1}, first.revision, False, created=first.created)
        )
        second = await client.write(CRASH_REPORT_KIND, "f", {"n": 2}, first.revision)
        self.assertTrue(second.written)
        stale = await client.write(CRASH_REPORT_KIND, "f", {"n": 3}, first.revision)
        self.assertEqual(
            stale, StoredVersion({"n": 2}, second.revision, False, created=second.created)
        )
        store.remove(CRASH_REPORT_KIND, "f")
        self.assertTrue((await client.write(CRASH_REPORT_KIND, "f", {}, second.revision)).written)


if __name__ == "__main__":
    unittest.main()
