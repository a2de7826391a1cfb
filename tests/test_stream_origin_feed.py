"""Tests of the versions that began streams with real feeds and a store on loopback."""

from __future__ import annotations

import asyncio
import unittest

from rollout_io_case import NEW, OLD, SERVICE, RolloutFleetCase

from sapphireledge.gateway import VERSIONS_REPORT
from sapphireledge.platform.stream_origin_writer import STREAM_ORIGIN_KIND


class StreamOriginFeedTest(RolloutFleetCase):
    contracts = ("base",)

    def origins(self, number):
        return self.instances[number].gateway.context.origins

    def names(self):
        return set(self.store.names(STREAM_ORIGIN_KIND))

    def count_calls(self):
        """Counts the calls to the store for origins."""
        return sum(count for call, count in self.store.calls.items() if STREAM_ORIGIN_KIND in call)

    async def lose_power(self):
        for instance in self.instances:
            await instance.stop()
        number, self.instances[:] = len(self.instances), []
        return number

    async def mix(self):
        """Starts instances and servers of both versions; returns when all know that."""
        await self.add_servers(OLD, 1)
        await self.add_instances(3)
        await self.wait_until(lambda: self.names() == {VERSIONS_REPORT}, 10.0)
        await self.add_servers(NEW, 1)
        await self.wait_until(lambda: all(self.origins(n).is_mixed for n in range(3)), 6.0)

    async def test_streams_of_a_version_that_left_during_a_loss_of_power_stay_its_own(self):
        await self.mix()
        self.origins(0).record(SERVICE, "known", OLD, 20.0)
        self.assertEqual(await self.origins(2).find(SERVICE, "known", 20.0), OLD)
        number = await self.lose_power()
        self.store.remove("servers", "s0")
        await self.add_instances(number)
        for n in range(number):
            self.assertEqual(await self.origins(n).find(SERVICE, "known", 20.0), OLD)
            self.assertIsNone(await self.origins(n).find(SERVICE, "unknown", 20.0))

    async def test_only_version_that_was_replaced_during_a_loss_of_power_is_remembered(self):
        await self.add_servers(OLD, 1)
        await self.add_instances(2)
        await self.wait_until(lambda: self.names() == {VERSIONS_REPORT}, 10.0)
        number = await self.lose_power()
        self.store.remove("servers", "s0")
        await self.add_servers(NEW, 1)
        await self.add_instances(number)
        for n in range(number):
            self.assertIsNone(await self.origins(n).find(SERVICE, "s1", 20.0))

    async def test_one_version_costs_no_calls(self):
        await self.add_servers(OLD, 2)
        await self.add_instances(3)
        await self.wait_until(lambda: not any(self.origins(n).is_active for n in range(3)), 10.0)
        # A watch that is open ends before the quiet begins.
        await asyncio.sleep(2.0)
        watched = self.count_calls()
        self.assertLessEqual(watched, 20)
        self.origins(0).record(SERVICE, "s1", OLD, 20.0)
        await asyncio.sleep(5.0)
        self.assertEqual(await self.origins(0).find(SERVICE, "s1", 20.0), OLD)
        self.assertEqual(self.count_calls(), watched)
        for _ in range(3):
            self.assertEqual(await self.origins(1).find(SERVICE, "s1", 20.0), OLD)
        self.assertEqual(self.count_calls(), watched + 1)


if __name__ == "__main__":
    unittest.main()
