"""Tests of roll-outs of a version with entry instances, a store and servers on loopback."""

from __future__ import annotations

import asyncio
import time
import unittest

from rollout_fleet import NEW, OLD, RolloutFleetCase


class RolloutTest(RolloutFleetCase):
    async def test_good_version_is_completed_when_nothing_runs_on_the_old_one(self):
        """Guards against a good version that does not get the traffic, and an early completion."""
        await self.add_servers(OLD, 2)
        await self.add_instances(2)
        self.start_traffic(60.0)
        await self.add_servers(NEW, 2)
        ordered_at = self.order(duration=16.0)
        await self.wait_for_status("running", 5.0)
        await self.wait_for_status("completed", 16.0)
        completed_at = time.monotonic()
        print("completed after", completed_at - ordered_at, self.share(NEW, ordered_at))
        await asyncio.sleep(1.0)
        self.assertEqual(self.share(OLD, completed_at), 0.0)
        self.assertLessEqual({*self.answers}, {200})

    async def test_bad_version_is_rolled_back_and_gets_nothing_any_more(self):
        """Guards against each instance waiting for 50 bad answers of its own."""
        self.is_bad = True
        await self.add_servers(OLD, 2)
        await self.add_instances(3)
        self.start_traffic(150.0)
        await self.add_servers(NEW, 2)
        ordered_at = self.order(duration=30.0)
        await self.wait_for_status("rolled_back", 25.0)
        await asyncio.sleep(3.0)
        bad = [at for at, version, _ in self.sent if version == NEW]
        print(
            "bad answers",
            len(bad),
            [round(a - ordered_at, 2) for a in bad[:3]],
            round(bad[-1] - ordered_at, 2),
        )


if __name__ == "__main__":
    unittest.main()
