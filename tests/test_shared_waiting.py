"""Tests of the order of waiting streams by what a data centre has seen, without a network."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from line_model import LineModel, ModelStream
from test_waiting_line import LIMITS, WORK, mean

from sapphireledge.core.shared_load import WorkspaceStreams
from sapphireledge.core.waiting import WaitingLine

INSTANCES = 20


def flood(seed):
    """Three times what the engines can process, of which one workspace sends two thirds."""
    rng = random.Random(f"shared flood {seed}")
    streams, now = [], 0.0
    while (now := now + rng.expovariate(18.0)) < 15.0:
        workspace = rng.choices(range(7), (12, 1, 1, 1, 1, 1, 1))[0]
        streams.append(ModelStream(now, rng.randrange(INSTANCES), 0, f"{workspace}"))
    return streams


def play(shares_load):
    return [
        LineModel(
            flood(seed),
            seed,
            in_line=True,
            instances=INSTANCES,
            start_share=0.3,
            shares_load=shares_load,
        ).run()
        for seed in range(6)
    ]


class CountedAmount(float):
    """Amount that counts how often it is added to another one."""

    additions = 0

    def __radd__(self, other):
        CountedAmount.additions += 1
        return float(self) + other


class SharedUsageTest(unittest.TestCase):
    """Guards against an order by the few streams that one of many instances has started."""

    def test_small_workspaces_are_served_beside_one_that_floods_all_instances(self):
        alone, shared = play(False), play(True)
        small = lambda stream: stream.workspace != "0"  # noqa: E731
        before = mean(alone, "share_served", small)
        self.assertGreater(mean(shared, "share_served", small), before + 0.02)
        self.assertGreater(mean(shared, "share_served"), mean(alone, "share_served") - 0.02)
        heavy = mean(shared, "share_served", lambda stream: stream.workspace == "0")
        self.assertGreater(heavy, mean(shared, "share_served") / 2)

    def order(self, elsewhere):
        """Order of a stream with less time left of `large` and one of `small`."""
        line = WaitingLine(LIMITS, random.Random(1), lambda now: elsewhere)
        tickets = {}
        for name, deadline in (("large", 24.0), ("small", 25.0)):
            work = replace(WORK, workspace=name, deadline=deadline)
            line.on_arrival(0.0, work)
            tickets[line.join(0.0, work)] = name
        return [tickets[ticket] for ticket in line.next(0.0)]

    def test_workspace_that_is_heavy_elsewhere_gives_way(self):
        usage = {f"w{n}": WorkspaceStreams(1e3, 1.0, 1.0) for n in range(4)}
        self.assertEqual(self.order({}), ["large", "small"])
        usage["large"] = WorkspaceStreams(1e4, 10.0, 10.0)
        self.assertEqual(self.order(usage), ["small", "large"])

    def test_workspace_that_is_starved_elsewhere_goes_first(self):
        usage = {"small": WorkspaceStreams(0.0, 20.0, 0.0), "w": WorkspaceStreams(1e3, 20.0, 20.0)}
        self.assertEqual(self.order(usage), ["small", "large"])

    def test_counts_of_others_are_summed_once_for_an_order(self):
        amount = CountedAmount(2.0)
        elsewhere = {f"w{n}": WorkspaceStreams(1e3, amount, amount) for n in range(32)}
        line = WaitingLine(LIMITS, random.Random(1), lambda now: elsewhere)
        for number in range(50):
            work = replace(WORK, workspace=f"own-{number}")
            line.on_arrival(0.0, work)
            line.join(0.0, work)
        CountedAmount.additions = 0
        self.assertEqual(len(line.next(0.0)), 50)
        self.assertEqual(CountedAmount.additions, 2 * len(elsewhere))


if __name__ == "__main__":
    unittest.main()
