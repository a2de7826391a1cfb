"""Tests of the decisions about partitions between an instance and the backend servers."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from sapphireledge.core.reachability import (
    FailureWindow,
    ForwardingPeer,
    PeerOrder,
    ProbeSelection,
)


def peer(number, data_centre):
    return ForwardingPeer(f"e{number}", data_centre, "10.0.0.1", 7000 + number)


class FailureWindowTest(unittest.TestCase):
    def test_one_server_that_fails_often_is_no_partition(self):
        """Guards against probes for each crash of a server."""
        window = FailureWindow()
        self.assertEqual({window.on_failure(0.1 * n, "a") for n in range(20)}, {False})

    def test_two_servers_that_fail_close_together_are_suspicious(self):
        """Guards against a partition that is noticed late."""
        window = FailureWindow()
        self.assertFalse(window.on_failure(0.0, "a"))
        self.assertTrue(window.on_failure(0.3, "b"))

    def test_failures_far_apart_or_before_a_connection_do_not_count(self):
        """Guards against suspicion of an instance that reaches servers."""
        window = FailureWindow()
        window.on_failure(0.0, "a")
        self.assertFalse(window.on_failure(5.0, "b"))
        window.clear()
        self.assertFalse(window.on_failure(5.1, "c"))


class ProbeSelectionTest(unittest.TestCase):
    def test_servers_of_each_service_are_probed(self):
        """Guards against one service that is down and looks like a partition."""
        drawn = ProbeSelection(Random(1)).draw_probes([["a1", "a2", "a3", "a4"], ["b1"], []])
        self.assertEqual(Counter(name[0] for name in drawn), {"a": 3, "b": 1})

    def test_few_servers_are_no_witnesses(self):
        """Guards against deaths in a small fleet that are never reported."""
        selection = ProbeSelection(Random(1))
        self.assertEqual(selection.draw_witnesses([["a1", "a2"], ["b1"]]), [])
        self.assertEqual(len(selection.draw_witnesses([["a1", "a2"], ["b1", "b2"]])), 4)


class PeerOrderTest(unittest.TestCase):
    def setUp(self):
        self.order = PeerOrder("e0", "dc-a", Random(1))
        self.local = [peer(number, "dc-a") for number in range(6)]
        self.remote = [peer(number, "dc-b") for number in range(6, 12)]

    def test_own_data_centre_is_not_the_only_one(self):
        """Guards against a request that is offered to a data centre that is cut off as a whole."""
        chosen = self.order.choose(0.0, [*self.local, *self.remote])
        self.assertEqual([p.data_centre for p in chosen], ["dc-a"] * 2 + ["dc-b"] * 6)
        self.assertNotIn("e0", [p.name for p in chosen])

    def test_instances_that_refused_come_last_for_a_while(self):
        """Guards against requests that all begin at an instance that takes none."""
        refusing = self.local[1]
        self.assertTrue(self.order.avoid(0.0, refusing))
        self.assertFalse(self.order.avoid(0.1, refusing))
        few = [refusing, self.local[2], self.remote[0]]
        self.assertEqual(self.order.choose(1.0, few)[-1], refusing)
        first = {self.order.choose(9.0, few)[0].name for _ in range(50)}
        self.assertIn(refusing.name, first)

    def test_requests_are_spread(self):
        """Guards against one instance that takes all requests of those that are cut off."""
        first = Counter(self.order.choose(0.0, self.remote)[0].name for _ in range(600))
        self.assertEqual(len(first), 6)
        self.assertLess(max(first.values()), 200)


if __name__ == "__main__":
    unittest.main()
