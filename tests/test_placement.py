"""Tests of the decision when and on which engine a stream starts."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from engine_model import FloodModel
from hypothesis import given
from hypothesis import strategies as st

from sapphireledge.core.placement import (
    EngineView,
    FirstEventEstimator,
    GenerationEstimator,
    PendingStream,
    PlacementLimits,
    PlacementRule,
    RefuseStream,
    StartStream,
    WaitForEngine,
)

LIMITS = PlacementLimits()
STREAM = PendingStream(8_000, 800, 0, due_at=4.5, leaves_at=18.0, deadline=25.0, has_run=False)
IDLE = EngineView("idle", True, 0, 0, 0, 0, 80_000)
SEEDS = range(50)


def rule():
    return PlacementRule(LIMITS, random.Random(1))


def decide(stream, *views, now=0.0, **options):
    return rule().decide(now, stream, views, FirstEventEstimator(), **options)


class FloodTest(unittest.TestCase):
    """Guards against queues at engines in which every stream becomes late."""

    def test_flood_beyond_capacity_over_fifty_seeds(self):
        """Replays 1.4 times the prompts that the engines can process, for 20 s."""
        held = [FloodModel(seed, True, 12.6).run() for seed in SEEDS]
        sent = [FloodModel(seed, False, 12.6).run() for seed in SEEDS]
        on_time = sum(model.on_time for model in held) / len(SEEDS)
        before = sum(model.on_time for model in sent) / len(SEEDS)
        self.assertGreater(on_time, before + 0.1)
        served = sum(model.served for model in held) / len(SEEDS)
        self.assertGreaterEqual(served, sum(model.served for model in sent) / len(SEEDS) - 0.02)

    def test_load_within_capacity_is_not_held(self):
        for seed in range(10):
            held = FloodModel(seed, True, 5.0).run()
            self.assertGreaterEqual(held.on_time, FloodModel(seed, False, 5.0).run().on_time - 0.05)
            self.assertFalse(held.refused)


class DecisionTest(unittest.TestCase):
    def test_idle_engine_starts_a_stream_at_once(self):
        busy = replace(IDLE, engine="busy", prefilling=2, running=4)
        decision = decide(STREAM, busy, IDLE)
        self.assertEqual((decision.engine, decision.is_late), ("idle", False))

    def test_stream_that_would_be_late_waits_and_then_starts_before_it_is_too_late(self):
        busy = replace(IDLE, waiting=6)
        self.assertIsInstance(decide(STREAM, busy), WaitForEngine)
        late = decide(STREAM, busy, now=25.0 - LIMITS.late_reserve)
        self.assertTrue(isinstance(late, StartStream) and late.is_late)

    def test_late_stream_starts_before_its_caller_gives_up(self):
        """Guards against holding a stream until its caller has left, long before the deadline."""
        busy = replace(IDLE, waiting=6)
        reserve = FirstEventEstimator().estimate(LIMITS.leave_reserve - 1)
        hasty = replace(STREAM, due_at=0.5, leaves_at=5.0)
        self.assertIsInstance(decide(hasty, busy), StartStream)
        self.assertIsInstance(decide(replace(hasty, leaves_at=reserve + 1), busy), WaitForEngine)

    def test_stopping_instance_does_not_hold_streams(self):
        """Guards against accepted requests that are cut off by a graceful shutdown."""
        decision = decide(STREAM, replace(IDLE, waiting=6), may_wait=False)
        self.assertIsInstance(decision, StartStream)

    @given(st.floats(0.0, 30.0), st.integers(0, 30), st.booleans(), st.floats(0.0, 1.0))
    def test_only_what_cannot_be_served_is_refused(self, now, waiting, has_run, share):
        stream = replace(STREAM, has_run=has_run)
        decision = decide(stream, replace(IDLE, waiting=waiting), now=now, start_share=share)
        if isinstance(decision, RefuseStream):
            self.assertFalse(has_run)
            self.assertGreaterEqual(now + FirstEventEstimator().estimate(0), stream.leaves_at)
            self.assertGreater(decision.retry_after, 0.0)
        if isinstance(decision, WaitForEngine):
            self.assertLess(now + decision.delay + 2.0, stream.deadline)

    def test_late_stream_that_cannot_end_in_time_is_refused(self):
        """Guards against prompts processed for streams that their deadline cuts."""
        busy = replace(IDLE, waiting=6)
        now = STREAM.deadline - LIMITS.late_reserve
        late = decide(STREAM, busy, now=now, generation_time=1.0)
        self.assertIsInstance(late, StartStream)
        refused = decide(STREAM, busy, now=now, generation_time=5.0)
        self.assertIsInstance(refused, RefuseStream)
        has_run = replace(STREAM, has_run=True)
        self.assertIsInstance(decide(has_run, busy, now=now, generation_time=5.0), StartStream)
        # No engine can complete it, so it is refused before its wait.
        self.assertIsInstance(decide(STREAM, busy, generation_time=24.0), RefuseStream)
        self.assertIsInstance(decide(STREAM, busy, generation_time=20.0), WaitForEngine)

    def test_lower_rank_leaves_the_queue_to_the_most_urgent(self):
        """Guards against less urgent streams with a later target that fill the engines first."""
        lower = replace(STREAM, rank_distance=1, due_at=10.0)
        queue = replace(IDLE, waiting=2)
        self.assertIsInstance(decide(lower, queue), WaitForEngine)
        self.assertIsInstance(decide(STREAM, queue), StartStream)

    def test_engine_without_room_for_the_whole_stream_is_avoided(self):
        """Guards against preemption, after which an engine processes a prompt again."""
        full = replace(IDLE, engine="full", running=9, free_tokens=9_000)
        decision = decide(STREAM, full, replace(IDLE, prefilling=1, running=3))
        self.assertEqual(decision.engine, "idle")

    def test_streams_are_copied_only_while_engines_have_room(self):
        """Guards against copies that take the memory of new streams in a flood."""
        full = replace(IDLE, running=9, free_tokens=9_000)
        has_room = rule().has_room_for_copies
        self.assertTrue(has_room(STREAM, [IDLE, IDLE, full]))
        self.assertFalse(has_room(STREAM, [IDLE, full, full]))

    def test_generation_time_follows_what_is_announced(self):
        estimator = GenerationEstimator()
        self.assertEqual(estimator.estimate(500), 0.0)
        for _ in range(40):
            estimator.observe(1_000, 5.0)
        self.assertAlmostEqual(estimator.estimate(500), 2.5, delta=0.1)
        self.assertAlmostEqual(estimator.estimate(0), 5.0, delta=0.1)

    def test_estimate_follows_the_engines(self):
        estimator = FirstEventEstimator()
        for _ in range(40):
            estimator.observe(1.0, 6.0)
        self.assertAlmostEqual(estimator.estimate(0.0), 3.0, delta=0.1)


if __name__ == "__main__":
    unittest.main()
