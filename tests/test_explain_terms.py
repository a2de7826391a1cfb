"""Tests of the terms of an engine's cost."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from sapphireledge.core.placement import (
    EngineView,
    FirstEventEstimator,
    PendingStream,
    PlacementLimits,
    PlacementRule,
)

LIMITS = PlacementLimits()
STREAM = PendingStream(
    8_000, 800, 0, due_at=4.5, leaves_at=18.0, deadline=25.0, has_run=False, typical_tokens=4_000.0
)
IDLE = EngineView("idle", True, 0, 0, 0, 0, 80_000, tokens_ahead=0.0)


class CostTermsTest(unittest.TestCase):
    """Guards against an explanation by other figures than those of the decision."""

    def setUp(self):
        self.rule = PlacementRule(LIMITS, random.Random(1))

    def test_each_term_has_its_cause(self):
        idle = self.rule.explain(STREAM, IDLE)
        self.assertEqual((idle.ahead, idle.own_work, idle.running), (0.0, 2.0, 0.0))
        self.assertEqual((idle.remote, idle.memory), (0.0, 0.0))
        cases = {
            "ahead": (replace(IDLE, tokens_ahead=6_000.0), 1.5),
            "own_work": (replace(IDLE, kept_tokens=6_000), 0.5),
            "running": (replace(IDLE, running=3), LIMITS.running_cost * 3 * 2.0),
            "remote": (replace(IDLE, is_local=False), LIMITS.remote_cost),
            "memory": (replace(IDLE, free_tokens=100), LIMITS.memory_full_cost),
        }
        for name, (view, expected) in cases.items():
            with self.subTest(name):
                terms = self.rule.explain(STREAM, view)
                self.assertAlmostEqual(getattr(terms, name), expected)
                others = {field: getattr(idle, field) for field in cases if field != name}
                self.assertEqual({field: getattr(terms, field) for field in others}, others)

    def test_cost_is_the_sum_and_the_lowest_one_is_chosen(self):
        rng = random.Random(3)
        for _ in range(200):
            views = [
                EngineView(
                    f"s{number}",
                    rng.random() < 0.5,
                    rng.randrange(3),
                    rng.randrange(2),
                    rng.randrange(6),
                    rng.randrange(2),
                    rng.randrange(0, 20_000),
                    rng.uniform(0.0, 9_000.0),
                    rng.randrange(0, 8_000),
                )
                for number in range(4)
            ]
            totals = {v.engine: self.rule.explain(STREAM, v).total for v in views}
            for view in views:
                self.assertEqual(self.rule.cost(STREAM, view), totals[view.engine])
            decision = self.rule.decide(0.0, STREAM, views, FirstEventEstimator(), may_wait=False)
            self.assertEqual(totals[decision.engine], min(totals.values()))


if __name__ == "__main__":
    unittest.main()
