"""Tests of the division of a pool among instances with old load reports."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sapphireledge.core.admission import Capacity, QueuedWork, RankScheduler, divide_capacity
from sapphireledge.core.declarations import Rank
from sapphireledge.settings import AdmissionSettings


class DivideCapacityTest(unittest.TestCase):
    """Guards against instances that all take the same free slots."""

    @given(st.integers(1, 400), st.integers(2, 40), st.data())
    def test_instances_with_the_same_stale_report_do_not_overfill_the_pool(
        self, total, entries, data
    ):
        counts = data.draw(st.lists(st.integers(0, total), min_size=entries, max_size=entries))
        even_share = max(1, total // entries)
        counts = [min(running, even_share) for running in counts]
        # The report is from before the running work started: everything looks free.
        observed = Capacity(total, total)
        in_use = [divide_capacity(observed, entries, running).free + running for running in counts]
        # Even parts of at least one slot, so that more instances than slots overfill by those.
        self.assertLessEqual(sum(in_use), max(total, entries) + sum(counts))
        full = Capacity(0, total)
        self.assertTrue(all(divide_capacity(full, entries, r).free == 0 for r in counts))

    @given(st.integers(1, 400), st.integers(0, 400), st.integers(0, 40))
    def test_single_instance_uses_the_entire_pool(self, total, free, running):
        observed = Capacity(min(free, total), total, 10.0)
        self.assertEqual(divide_capacity(observed, 1, running), observed)

    def test_busy_instance_may_use_slots_of_idle_instances(self):
        running, total, entries = 0, 120, 3
        for _ in range(100):
            share = divide_capacity(Capacity(total - running, total), entries, running)
            running += share.free
        self.assertGreaterEqual(running, total - entries)


class ReserveTest(unittest.TestCase):
    """Guards against a reserve of which the last part of a slot was given away."""

    def test_less_urgent_work_leaves_the_full_reserve_free(self):
        ranks = {
            "urgent": Rank(name="urgent", order=0, target=2.0, reserve=0.2),
            "background": Rank(name="background", order=1, target=100.0),
        }
        scheduler = RankScheduler(ranks, AdmissionSettings())
        for number in range(4):
            scheduler.offer(0.0, QueuedWork(f"w{number}", "background", "w", 10, 10))
        self.assertEqual(len(scheduler.next(0.0, Capacity(4, 4, 100.0))), 3)
