"""Tests of the measurement of event loops that are kept."""

from __future__ import annotations

import asyncio
import os
import time
import unittest

from loop_watch import SCHEDULER_STATISTICS, LoopWatch, own_time


def burn(seconds):
    """Takes processor time of this thread."""
    end = time.thread_time() + seconds
    while time.thread_time() < end:
        pass


class LoopWatchTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a measurement that misses what keeps the loop."""

    async def measure(self, keep):
        watch = LoopWatch()
        await asyncio.sleep(0.01)
        keep(0.1)
        await asyncio.sleep(0.01)
        return watch.stop()

    async def test_work_counts(self):
        self.assertGreaterEqual(await self.measure(burn), 0.1)

    async def test_blocking_counts(self):
        self.assertGreaterEqual(await self.measure(time.sleep), 0.1)


@unittest.skipUnless(SCHEDULER_STATISTICS.exists(), "the system keeps no such statistics")
class OwnTimeTest(unittest.TestCase):
    """Guards against a clock that counts the time for which others run."""

    def test_time_of_others_does_not_count(self):
        cpus = os.sched_getaffinity(0)
        children = []
        try:
            os.sched_setaffinity(0, {min(cpus)})
            for _ in range(3):
                child = os.fork()
                if child == 0:
                    burn(2.0)
                    os._exit(0)
                children.append(child)
            started, own_started = time.monotonic(), own_time()
            burn(0.3)
            elapsed, own_elapsed = time.monotonic() - started, own_time() - own_started
        finally:
            os.sched_setaffinity(0, cpus)
            for child in children:
                os.waitpid(child, 0)
        self.assertGreaterEqual(own_elapsed, 0.3)
        self.assertLess(own_elapsed, 0.3 + (elapsed - 0.3) / 2)


if __name__ == "__main__":
    unittest.main()
