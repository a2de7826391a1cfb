"""Tests of followers whose relay is cut off from the store, silent or behind."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import fields, replace
from functools import partial

from test_feed import CFG, KIND, FeedInstance, MemoryStore, free_ports
from virtual_clock import VirtualClock

from sapphireledge.platform.node_settings import CONFIG_WATCH_WAIT


class CutOffRelayTest(VirtualClock, unittest.IsolatedAsyncioTestCase):
    """Guards against a change that reaches instances in touch with the store too late."""

    IN_FORCE = 3.0
    """Seconds within which a change reaches every instance that is in touch with the store."""

    async def start(self, count):
        """Starts instances with the settings of a machine; e0 relays to the others."""
        self.store, peers = MemoryStore(), []
        kind = replace(KIND, watch_wait=CONFIG_WATCH_WAIT)
        defaults = {field.name: getattr(CFG, field.name) for field in fields(CFG)}
        overrides = {name: defaults[name] for name in defaults.keys() - {"kinds", "host", "port"}}
        self.instances = [
            FeedInstance(self.store, f"e{n}", 100.0 - n, peers, port, kind=kind, **overrides)
            for n, port in enumerate(free_ports(count))
        ]
        self.addAsyncCleanup(self.stop)
        await asyncio.sleep(6.0)
        is_reading = [i.watcher.is_healthy for i in self.instances]
        self.assertEqual(is_reading, [True] + [False] * (count - 1))
        self.store.watch_started.clear()
        while not self.store.watch_started:
            await asyncio.sleep(0.001)

    async def stop(self):
        for instance in self.instances:
            instance.task.cancel()
        await asyncio.gather(*(i.task for i in self.instances), return_exceptions=True)

    def silence(self, *numbers):
        """Makes instances accept connections and reply nothing, as machines that stand still."""
        for number in numbers:
            self.instances[number].runner._server._build_reply = partial(asyncio.sleep, 60.0)

    async def assert_change_arrives(self, first):
        """Makes a change, which the instances from one number on must hold in time."""
        self.store.put("b", 2)
        await asyncio.sleep(self.IN_FORCE)
        late = [
            n for n, i in enumerate(self.instances) if n >= first and "b" not in i.listener.objects
        ]
        self.assertEqual(late, [])

    async def test_change_right_after_a_watch_of_the_relay_began(self):
        await self.start(5)
        self.store.cut_instances.add("e0")
        await self.assert_change_arrives(first=1)

    async def test_relay_and_its_successors_are_cut_off(self):
        await self.start(8)
        self.store.cut_instances |= {"e0", "e1", "e2", "e3"}
        await self.assert_change_arrives(first=4)

    async def test_relay_is_cut_off_and_its_successors_stand_still(self):
        await self.start(8)
        self.store.cut_instances |= {"e0", "e1", "e2", "e3"}
        self.silence(1, 2, 3)
        await self.assert_change_arrives(first=4)

    async def test_relay_stands_still_before_it_confirms(self):
        await self.start(8)
        await asyncio.sleep(1.2)
        self.store.cut_instances |= {"e0", "e1", "e2", "e3"}
        self.silence(0, 1, 2, 3)
        await self.assert_change_arrives(first=4)

    async def test_relay_replies_but_is_behind(self):
        await self.start(4)
        self.store.cut_instances.add("e0")
        self.instances[0].watcher._call_store = partial(asyncio.sleep, 60.0)
        await self.assert_change_arrives(first=1)

    async def test_only_the_last_instance_reaches_the_store_again(self):
        """Its cut counts as over 4 s after it has healed."""
        await self.start(6)
        self.store.cut_instances |= {f"e{n}" for n in range(6)}
        self.store.put("b", 2)
        for instance in self.instances:
            # The longest delay that the jitter allows.
            instance.watcher._rng.uniform = lambda low, high: high
        await asyncio.sleep(14.0)
        self.store.cut_instances.remove("e5")
        await asyncio.sleep(4.0)
        self.assertIn("b", self.instances[5].listener.objects)

    async def test_relay_that_is_well_causes_no_calls_of_others(self):
        await self.start(5)
        self.store.calls_by_instance.clear()
        await asyncio.sleep(4.0)
        self.assertEqual(set(self.store.calls_by_instance), {"e0"})

    async def test_store_that_is_away_is_called_rarely(self):
        await self.start(8)
        self.store.cut_instances |= {f"e{n}" for n in range(8)}
        self.store.calls_by_instance.clear()
        await asyncio.sleep(6.0)
        for n in range(3, 8):
            self.assertLessEqual(self.store.calls_by_instance[f"e{n}"], 4)
