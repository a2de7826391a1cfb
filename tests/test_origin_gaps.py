"""Tests of take-ups beside cuts from the store, failed reads and equal ids."""

from __future__ import annotations

import asyncio
import unittest

from origin_fleet import NEW, OLD, OriginFleetCase


class OriginGapsTest(OriginFleetCase):
    async def test_take_up_during_the_pause_after_a_failed_read_is_read_for(self):
        """Guards against a request to read that is dropped while the reader pauses."""
        a = self.start("a", OLD)
        await asyncio.sleep(5.0)
        a.serve(OLD, NEW)
        a.begin("s1", OLD)
        await asyncio.sleep(1.0)
        b = self.start("b", NEW, has_feed=False)
        self.store.down = True
        self.assertIsNone(await b.find("s1", 0.4))
        self.store.down = False
        await asyncio.sleep(0.4)
        self.assertEqual(await b.find("s1"), OLD)


if __name__ == "__main__":
    unittest.main()
