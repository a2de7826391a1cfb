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
    def test_instances_with_the_same_old_report_do_not_overfill_the_pool(
        self, total, entries, data
    ):
        own = data.draw(st.lists(st.integers(0, total), min_size=entries, max_size=entries))
        even = max(1, total // entries)
        own = [min(running, even) for running in own]
        # The report is from before the running work started: everything looks free.
        seen = Capacity(total, total)
        taken = [divide_capacity(seen, entries, running).free + running for running in own]
        # Even parts of at least one slot, so that more instances than slots overfill by those.
        self.assertLessEqual(sum(taken), max(total, entries) + sum(own))
        full = Capacity(0, total)
        self.assertTrue(all(divide_capacity(full, entries, r).free == 0 for r in own))

    @given(st.integers(1, 400), st.integers(0, 400), st.integers(0, 40))
    def test_a_lone_instance_uses_the_whole_pool(self, total, free, own):
        seen = Capacity(min(free, total), total, 10.0)
        self.assertEqual(divide_capacity(seen, 1, own), seen)

    def test_an_idle_fleet_leaves_its_slots_to_a_busy_instance(self):
        own, total, entries = 0, 120, 3
        for _ in range(100):
            part = divide_capacity(Capacity(total - own, total), entries, own)
            own += part.free
        self.assertGreaterEqual(own, total - entries)


class ReserveTest(unittest.TestCase):
    """Guards against a reserve of which the last part of a slot was given away."""

    def test_less_urgent_work_leaves_the_whole_reserve(self):
        ranks = {
            "urgent": Rank(name="urgent", order=0, target=2.0, reserve=0.2),
            "background": Rank(name="background", order=1, target=100.0),
        }
        scheduler = RankScheduler(ranks, AdmissionSettings())
        for number in range(4):
            scheduler.offer(0.0, QueuedWork(f"w{number}", "background", "w", 10, 10))
        self.assertEqual(len(scheduler.next(0.0, Capacity(4, 4, 100.0))), 3)
