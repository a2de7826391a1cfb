"""Tests of answers that go on while engines of several software versions serve."""

from __future__ import annotations

import asyncio
import time

from software_fleet_case import TOKENS, Received, SoftwareFleetCase
from test_answer_owners import FakeQueries

from sapphireledge.entry.copy_store import CopyStore
from sapphireledge.peers import FoundAnswer

AT_ONCE = 1.0
"""Seconds within which a continuation is refused that no engine can serve."""


class SoftwareVersionsTest(SoftwareFleetCase):
    """Guards against an answer that is joined from two software versions."""

    async def begin(self, *entries: str) -> Received:
        """Starts an answer at the first entry and cuts the connection after some tokens."""
        received = Received()
        await self.read_part(entries[0], "r", received)
        self.assertEqual(received.kind, "")
        return received

    async def start_mixed_fleet(self, *entries: str, spare: bool = False) -> None:
        """Starts an engine of each version; a spare one of each if one is to be lost."""
        for name, software in {"g1": "1", "g2": "2"}.items():
            await self.add_engine(name, software)
            if spare:
                await self.add_engine(f"{name}s", software)
        await self.start_fleet(*entries)

    async def lose_beginner(self, received: Received) -> None:
        """Ends the engine that began an answer."""
        (boot,) = received.boots
        (name,) = [n for n, e in self.engines.items() if e.state.boot_id.startswith(boot)]
        await self.stop_engine(name)

    async def assert_refused(self, entry: str, received: Received, text: str = "") -> None:
        boots, started = received.boots, time.monotonic()
        await asyncio.wait_for(self.read(entry, "r", received, text), 5.0)
        self.assertEqual((received.boots, received.ended), (boots, False))
        self.assertEqual((received.kind, received.ran), ("version_gone", "yes"))
        self.assertLess(time.monotonic() - started, AT_ONCE)

    async def assert_completed(self, entry: str, received: Received, text: str = "") -> None:
        before = self.software_of(received)
        await asyncio.wait_for(self.read(entry, "r", received, text), 5.0)
        self.assertEqual((received.kind, received.ended), ("", True))
        self.assertEqual(len(received.positions), TOKENS)
        self.assertEqual(self.software_of(received), before)

    def software_of(self, received: Received) -> set[str]:
        return {self.software[boot] for boot in received.boots}

    async def add_engine(self, name: str, software: str, **options):
        engine = await super().add_engine(name, software, **options)
        self.software = {
            **getattr(self, "software", {}),
            engine.state.boot_id[:6]: software,
        }
        return engine

    async def test_engine_is_lost_within_an_answer(self):
        await self.start_mixed_fleet("a1")
        received = Received()
        task = self.connect("a1", "r", received)
        await self.wait_for(lambda: len(received.positions) >= 5)
        boots, started = received.boots, time.monotonic()
        await self.stop_engine(self.find_generating())
        await asyncio.wait_for(task, 5.0)
        self.assertEqual((received.boots, received.ended), (boots, False))
        self.assertEqual((received.kind, received.ran), ("version_gone", "yes"))
        self.assertLess(time.monotonic() - started, AT_ONCE)

    async def test_engine_is_lost_beside_one_of_its_version(self):
        await self.start_mixed_fleet("a1", spare=True)
        received = Received()
        task = self.connect("a1", "r", received)
        await self.wait_for(lambda: len(received.positions) >= 5)
        await self.stop_engine(self.find_generating())
        await asyncio.wait_for(task, 5.0)
        self.assertEqual((received.kind, received.ended), ("", True))
        self.assertEqual(len(received.boots), 2)
        self.assertEqual(len(self.software_of(received)), 1)

    async def test_engine_restarts_with_another_version(self):
        engine = await self.add_engine("g1", "1")
        await self.start_fleet("a1")
        received = await self.begin("a1")
        report = engine.state.load_report()
        engine.state.load_report = lambda: {**report, "time_unix": time.time()}
        engine.state.options = type(engine.state.options)(
            name="g1", token_rate=60.0, software_version="2"
        )
        engine.state.boot_id = "f" * 32
        self.software["ffffff"] = "2"
        await self.assert_refused("a1", received)

    async def test_reader_returns_to_a_suspended_answer(self):
        await self.start_mixed_fleet("a1")
        received = await self.begin("a1")
        await self.lose_beginner(received)
        await self.assert_refused("a1", received)

    async def test_reader_returns_at_another_instance(self):
        await self.start_mixed_fleet("a1", "a2")
        received = await self.begin("a1")
        await self.lose_beginner(received)
        await self.assert_refused("a2", received)

    async def test_partner_takes_the_answer_over(self):
        await self.start_mixed_fleet("a1", "a2")
        received = await self.begin("a1")
        await self.stop_entry("a1")
        await self.lose_beginner(received)
        await self.assert_refused("a2", received)

    async def test_partner_takes_the_answer_over_at_its_version(self):
        await self.start_mixed_fleet("a1", "a2", spare=True)
        received = await self.begin("a1")
        await self.stop_entry("a1")
        await self.lose_beginner(received)
        await self.assert_completed("a2", received)
        self.assertEqual(len(received.boots), 2)

    async def test_copy_from_an_instance_that_knows_no_versions(self):
        await self.start_mixed_fleet("a1", "a2")
        received = await self.begin("a1")
        await self.stop_entry("a1")
        for copy in self.entries["a2"]._copy_store._table._copies.values():
            copy.software = None
        await self.assert_refused("a2", received)

    async def test_all_instances_lose_power(self):
        await self.start_mixed_fleet("a1")
        received = await self.begin("a1")
        await self.restart_entries()
        await self.lose_beginner(received)
        await self.assert_refused("a2", received, received.text)

    async def test_all_instances_lose_power_beside_engines_of_the_version(self):
        await self.start_mixed_fleet("a1", spare=True)
        received = await self.begin("a1")
        await self.restart_entries()
        await self.lose_beginner(received)
        await self.assert_completed("a2", received, received.text)
        self.assertEqual(len(received.boots), 2)

    async def test_engines_that_name_no_version(self):
        for name in ("g1", "g2"):
            await self.add_engine(name, "")
        await self.start_fleet("a1")
        received = await self.begin("a1")
        await self.restart_entries()
        await self.lose_beginner(received)
        await self.assert_completed("a2", received, received.text)

    async def restart_entries(self) -> None:
        """Ends all instances at once; another one starts."""
        for name in list(self.entries):
            await self.stop_entry(name)
            del self.addresses[name]
        await self.start_fleet("a2")

    async def test_reader_moves_to_an_owner_of_another_generation(self):
        await self.start_mixed_fleet("a1", "a2", "a3")
        first, second, other = Received(), Received(), Received()
        first_task = self.connect("a1", "r", first)
        await self.wait_for(lambda: len(first.positions) >= 3)
        second_task = self.connect("a2", "r", second)
        await self.wait_for(lambda: len(second.positions) >= 5)
        locator = self.entries["a3"]._locator
        locator._queries = FakeQueries(FoundAnswer("", None, False))
        locator._copies = CopyStore(locator._cfg)
        other_task = self.connect("a3", "r", other)
        await self.wait_for(lambda: len(other.positions) >= 5)
        await self.stop_entry("a1")
        for name in ("a2", "a3"):
            self.entries[name]._copy_store._table._copies.clear()
        await asyncio.wait_for(second_task, 8.0)
        self.assertEqual((second.problem, second.ended), ("", False))
        self.assertFalse(second.attempts & other.attempts)
        self.assertEqual((second.kind, second.ran), ("answer_diverged", "yes"))
        await self.cut(first_task)
        await asyncio.wait_for(other_task, 5.0)
        self.assertEqual((len(other.attempts), other.ended), (1, True))
