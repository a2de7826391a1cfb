"""Tests of the load that the instances of a data centre share, without a network."""

from __future__ import annotations

import unittest
from math import inf

from sapphireledge.core.shared_load import (
    LoadDigest,
    MergedLoad,
    ServiceLoad,
    SharedLoad,
    SharedLoadLimits,
    WorkspaceStreams,
    trim_load,
)
from sapphireledge.core.shedding import SheddingLimits
from sapphireledge.core.waiting import WaitingLimits

LIMITS = SharedLoadLimits()


def load(tokens, workspace="w", **fields):
    return {"s": ServiceLoad({workspace: WorkspaceStreams(tokens, 1.0, 1.0)}, **fields)}


def digest(name, tokens, incarnation=1, sequence=1, **fields):
    return LoadDigest(name, incarnation, sequence, load(tokens, **fields))


class SharedLoadTest(unittest.TestCase):
    """Guards against figures that are counted twice, too long or not at all."""

    def setUp(self):
        self.shared = SharedLoad(LIMITS)

    def test_without_figures_there_is_no_load(self):
        self.assertEqual(self.shared.usage(1.0), {})
        self.assertEqual(self.shared.age(1.0), inf)
        self.assertIsNone(self.shared.service(1.0, "s"))

    def test_relay_sums_its_followers_and_leaves_out_the_receiver(self):
        for number in range(4):
            self.shared.on_digest(0.0, digest(f"i{number}", 100.0))
        self.assertAlmostEqual(self.shared.usage(0.0)["w"], 400.0)
        merged = self.shared.merge_for(0.1, "i0", lambda now: load(50.0))
        self.assertEqual(merged.instances, 4)
        self.assertAlmostEqual(merged.services["s"].streams["w"].tokens, 350.0, delta=5.0)
        stranger = self.shared.merge_for(0.1, "i9", lambda now: load(50.0))
        self.assertAlmostEqual(stranger.services["s"].streams["w"].tokens, 450.0, delta=5.0)

    def test_figures_decay_and_expire(self):
        self.shared.on_digest(0.0, digest("i0", 100.0))
        at_2 = self.shared.usage(2.0)["w"]
        self.assertAlmostEqual(at_2, 100.0 * 2.0 ** (-2.0 / LIMITS.usage_half_life))
        self.assertAlmostEqual(self.shared.age(2.0), 2.0)
        self.assertEqual(self.shared.usage(LIMITS.max_age + 0.01), {})
        self.shared.on_relayed(10.0, MergedLoad(3, 0.5, load(100.0)))
        self.assertAlmostEqual(self.shared.age(12.0), 2.5)
        self.assertEqual(self.shared.age(10.01 + LIMITS.max_age), inf)

    def test_late_digest_is_ignored_and_a_restart_is_not(self):
        self.assertTrue(self.shared.on_digest(0.0, digest("i0", 100.0, sequence=5)))
        for sequence in (4, 5):
            self.assertFalse(self.shared.on_digest(0.0, digest("i0", 900.0, sequence=sequence)))
        self.assertTrue(self.shared.on_digest(0.0, digest("i0", 7.0, incarnation=2)))
        self.assertAlmostEqual(self.shared.usage(0.0)["w"], 7.0)

    def test_change_of_the_role_counts_nothing_twice(self):
        self.shared.on_relayed(0.0, MergedLoad(3, 0.5, load(300.0)))
        self.shared.on_digest(0.1, digest("i0", 100.0))
        self.assertAlmostEqual(self.shared.usage(0.1)["w"], 100.0)
        self.shared.on_relayed(0.2, MergedLoad(3, 0.5, load(300.0)))
        self.assertAlmostEqual(self.shared.usage(0.2)["w"], 300.0)

    def test_number_of_instances_is_bounded_and_places_become_free(self):
        for number in range(LIMITS.max_instances + 50):
            self.shared.on_digest(0.0, digest(f"i{number}", 1.0))
        self.assertEqual(self.shared.summary(0.0).instances, LIMITS.max_instances)
        self.assertTrue(self.shared.on_digest(LIMITS.max_age + 0.1, digest("new", 1.0)))

    def test_messages_keep_the_largest_and_the_sum_of_the_rest(self):
        arrivals = {(number % 2, f"w{number}"): float(number) for number in range(100)}
        streams = {f"w{number}": WorkspaceStreams(float(number)) for number in range(100)}
        services = {"s": ServiceLoad(streams, arrivals), "x" * 65: ServiceLoad()}
        trimmed = trim_load(services, LIMITS.max_services, LIMITS.digest_rows)
        self.assertEqual(set(trimmed), {"s"})
        self.assertEqual(set(trimmed["s"].streams), {f"w{number}" for number in range(84, 100)})
        self.assertAlmostEqual(sum(trimmed["s"].arrivals.values()), sum(arrivals.values()))
        self.assertEqual(len(trimmed["s"].arrivals), LIMITS.digest_rows + 2)

    def test_limits_of_a_sender_are_applied_on_receipt(self):
        """Guards against digests that take memory and processor time at the relay."""
        streams = {f"w{number}": WorkspaceStreams(100.0 + number, 1.0, 1.0) for number in range(64)}
        arrivals = {(rank, f"w{rank}"): 1.0 for rank in range(64)}
        services = {f"s{number}": ServiceLoad(streams, arrivals) for number in range(8)}
        self.shared.on_digest(0.0, LoadDigest("i0", 1, 1, services))
        (kept,) = (part.digest.services for part in self.shared._heard.values())
        self.assertEqual(len(kept), LIMITS.max_services)
        self.assertEqual(sum(len(load.streams) for load in kept.values()), LIMITS.digest_rows)
        rows = sum(len(load.arrivals) for load in kept.values())
        self.assertLessEqual(rows, LIMITS.digest_rows + 4 * LIMITS.max_services)
        self.shared.on_relayed(0.0, MergedLoad(3, 0.0, services))
        self.assertEqual(
            sum(len(load.streams) for load in self.shared._relayed[1].services.values()),
            LIMITS.merged_rows,
        )

    def test_figures_of_one_sender_are_bounded(self):
        extreme = {(0, "a"): 1e9, (0, "b"): 1e9}
        load = ServiceLoad({}, extreme, rejections=1e9, responses=1e9, response_time=1e12)
        per_second = LIMITS.max_request_rate
        for instances in (1, 3):
            if instances == 1:
                self.shared.on_digest(0.0, LoadDigest("i0", 1, 1, {"s": load}))
            else:
                self.shared.on_relayed(0.0, MergedLoad(instances, 0.0, {"s": load}))
            heard = self.shared.service(0.0, "s")
            arrived = per_second * LIMITS.arrival_window * instances
            self.assertAlmostEqual(sum(heard.arrivals.values()), arrived)
            answered = per_second * LIMITS.signal_window * instances
            self.assertAlmostEqual(heard.responses, answered)
            self.assertAlmostEqual(heard.rejections, answered)
            self.assertAlmostEqual(heard.mean_response_time, LIMITS.max_response_time)

    def test_receiver_is_not_told_its_own_arrivals_as_those_of_others(self):
        """Guards against callers of the receiver that the relay has summed with others."""
        own = {"s": ServiceLoad({}, {(0, f"r{number}"): 5.0 for number in range(40)})}
        mine = {"s": ServiceLoad({}, {(0, f"f{number}"): 2.0 for number in range(16)})}
        self.shared.on_digest(0.0, LoadDigest("f", 1, 1, mine))
        merged = self.shared.merge_for(0.0, "f", lambda now: own)
        self.assertAlmostEqual(sum(merged.services["s"].arrivals.values()), 200.0)

    def test_time_constants_are_those_of_the_decisions(self):
        self.assertEqual(LIMITS.usage_half_life, WaitingLimits().usage_half_life)
        self.assertEqual(LIMITS.start_window, WaitingLimits().start_window)
        self.assertEqual(LIMITS.arrival_window, SheddingLimits().arrival_window)
        self.assertEqual(LIMITS.signal_window, SheddingLimits().signal_window)
        self.assertEqual(LIMITS.max_response_time, SheddingLimits().max_shared_response)


if __name__ == "__main__":
    unittest.main()
