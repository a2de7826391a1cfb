"""Tests of the placement by kept prompts, one for each load pattern."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from prompt_model import LIMITS, PromptModel

from sapphireledge.core.placement import (
    EngineView,
    FleetSize,
    KeptPrompts,
    PendingStream,
    PlacementLimits,
    PlacementRule,
    PromptPart,
)

FLEET = FleetSize(instances=8, engines=12, prompt_time=1.0)
ENGINES = [f"e{index}" for index in range(12)]
SYSTEM = PromptPart("system", 1_000)
SESSION = PromptPart("session", 5_000)
TURN = PromptPart("turn", 500)
PARTS = [SYSTEM, SESSION, TURN]
STREAM = PendingStream(6_500, 800, 0, 4.0, 18.0, 25.0, False, typical_tokens=8_000)
IDLE = EngineView("idle", True, 0, 0, 0, 0, 80_000, tokens_ahead=0.0)
SEEDS = range(5)


def own(index):
    return PromptPart(f"own{index}", 2_000)


def hot_part(model, per_s, seconds=20.0):
    """Replays requests that all begin with one part."""
    now, index = 0.0, 0
    while now < seconds:
        now += model.rng.expovariate(per_s)
        index += 1
        model.place(now, [PromptPart("hot", 4_000), own(index)])


def sessions(model, count=40, turns=5, seconds=40.0, change=None):
    """Replays sessions whose turns arrive at any instance."""
    times = [
        (model.rng.uniform(0.0, seconds), session) for session in range(count) for _ in range(turns)
    ]
    for index, (now, session) in enumerate(sorted(times)):
        if change is not None and now >= seconds / 2:
            change = change(model)
        parts = [SYSTEM, PromptPart(f"session{session}", 5_000), PromptPart(f"turn{index}", 500)]
        model.place(now, parts)


def compare(replay, **options):
    """Replays a load with and without knowledge of kept prompts, over all seeds."""
    models = []
    for uses_kept in (True, False):
        models.append([PromptModel(seed, uses_kept, **options) for seed in SEEDS])
        for model in models[-1]:
            replay(model)
    return models


def tokens(models):
    return sum(model.processed for model in models)


def delay(models):
    return sum(model.mean_delay for model in models) / len(models)


class LoadPatternTest(unittest.TestCase):
    def test_hot_part_is_processed_at_few_engines_and_crowds_none(self):
        """Replays one part that all requests begin with, at a quarter of the capacity."""
        kept, others = compare(lambda model: hot_part(model, 4.0))
        self.assertLess(tokens(kept), 0.9 * tokens(others))
        self.assertLess(delay(kept), delay(others) + 0.02)
        for model in kept:
            busiest = max(engine.prompts for engine in model.engines.values())
            self.assertLess(busiest, 0.5 * len(model.delays))

    def test_sessions_return_to_their_engine_from_any_instance(self):
        kept, others = compare(sessions)
        self.assertLess(tokens(kept), 0.7 * tokens(others))
        self.assertLess(delay(kept), 0.9 * delay(others))

    def test_flood_is_not_held_up_at_engines_that_keep_a_prompt(self):
        """Replays 1.3 times what the engines can process without kept prompts."""
        kept, others = compare(lambda model: hot_part(model, 21.0))
        share = sum(model.share_within(4.0) for model in kept) / len(kept)
        before = sum(model.share_within(4.0) for model in others) / len(others)
        self.assertGreaterEqual(share, before)

    def test_slow_engine_does_not_hold_its_sessions(self):
        def slow_down(model):
            model.engines["e3"].speed = 0.2

        kept, others = compare(lambda model: sessions(model, change=slow_down))
        self.assertLess(delay(kept), delay(others))

    def test_restarted_engine_and_one_that_leaves_cost_only_their_own_prompts(self):
        def replace_engine(model):
            del model.engines["e3"]
            model.engines["e3-restarted"] = PromptModel(0, True).engines["e3"]
            model.engines.pop("e4")

        kept, others = compare(lambda model: sessions(model, change=replace_engine))
        self.assertLess(tokens(kept), 0.75 * tokens(others))
        self.assertLess(delay(kept), delay(others))

    def test_engines_without_memory_for_all_sessions_cost_nothing(self):
        """Replays more sessions than the engines keep; old knowledge must not delay them."""

        def run(model):
            for engine in model.engines.values():
                engine.memory = 14_000
            sessions(model, count=60, turns=4)

        kept, others = compare(run)
        self.assertLess(tokens(kept), tokens(others))
        self.assertLess(delay(kept), delay(others) + 0.05)


class EstimateTest(unittest.TestCase):
    def estimate(self, kept, now, engine="e1", free=80_000, weight=0.0, parts=PARTS):
        return kept.estimate(now, parts, engine, FLEET, weight, free)

    def test_parts_count_only_behind_the_ones_before_them(self):
        kept = KeptPrompts(LIMITS)
        kept.on_processed(0.0, [PromptPart("other", 10), SESSION, TURN], "e1")
        self.assertEqual(self.estimate(kept, 0.1), 0)
        kept.on_processed(0.0, [SYSTEM, PromptPart("other", 10)], "e2")
        kept.on_processed(0.0, PARTS, "e3")
        self.assertTrue(0 < self.estimate(kept, 0.1, "e2") < self.estimate(kept, 0.1, "e3"))
        self.assertEqual(kept.list_keepers(PARTS), ["e3", "e2"])

    def test_knowledge_fades_with_what_engines_process_since(self):
        """Guards against waiting for a prompt whose memory was taken by newer ones."""
        kept = KeptPrompts(LIMITS)
        kept.on_processed(0.0, PARTS, "e1")
        fresh = self.estimate(kept, 0.1)
        for second in range(20):
            kept.on_request(float(second), [SYSTEM, own(second)])
        self.assertEqual(self.estimate(kept, 20.0), fresh)
        self.assertLess(self.estimate(kept, 20.0, free=30_000), 0.8 * fresh)
        self.assertEqual(self.estimate(kept, 20.0, free=5_000), 0)
        self.assertEqual(self.estimate(kept, 20.0, free=0), 0)

    def test_wrong_estimates_are_unlearned(self):
        kept = KeptPrompts(LIMITS)
        before = self.estimate(kept, 0.0, weight=1.0)
        for _ in range(20):
            kept.on_checked(PARTS, "e1", 0.0)
        low = self.estimate(kept, 0.0, weight=1.0)
        self.assertTrue(0 < low < 0.5 * before)
        for _ in range(20):
            kept.on_checked(PARTS, "e1", 6_000.0)
        self.assertGreater(self.estimate(kept, 0.0, weight=1.0), before)

    def test_memory_is_bounded(self):
        kept = KeptPrompts(replace(LIMITS, max_parts=10, engines_per_part=2))
        for index in range(1_000):
            kept.on_request(float(index), [own(index), TURN])
            kept.on_processed(float(index), [own(index), TURN], f"e{index}")
        self.assertLessEqual(len(kept._parts), 10)
        self.assertLessEqual(max(len(part.engines) for part in kept._parts.values()), 2)


class HomesTest(unittest.TestCase):
    def test_instances_agree_and_a_lost_engine_moves_only_its_own_parts(self):
        moved = 0
        for index in range(200):
            parts = [PromptPart(f"p{index}", 1_000), TURN]
            first, second = (
                KeptPrompts(LIMITS).list_homes(0.0, parts, ENGINES, FLEET) for _ in "ab"
            )
            self.assertEqual(first, second)
            rest = [engine for engine in ENGINES if engine != "e5"]
            home = next(iter(KeptPrompts(LIMITS).list_homes(0.0, parts, rest, FLEET)))
            if next(iter(first)) != "e5":
                self.assertEqual(home, next(iter(first)))
            else:
                moved += 1
                self.assertEqual(home, list(first)[1])
        self.assertTrue(5 < moved < 40)

    def test_session_lives_among_the_homes_of_its_first_part(self):
        kept = KeptPrompts(LIMITS)
        first = kept.list_homes(0.0, [SYSTEM, TURN], ENGINES, FLEET)
        self.assertLessEqual(set(kept.list_homes(0.0, PARTS, ENGINES, FLEET)), set(first))

    def test_short_or_unshared_parts_have_no_homes(self):
        kept = KeptPrompts(LIMITS)
        for parts in ([], [SESSION], [PromptPart("short", 200), SESSION]):
            self.assertEqual(kept.list_homes(0.0, parts, ENGINES, FLEET), {})

    def test_demand_and_crowding_add_homes_in_the_same_order(self):
        kept = KeptPrompts(LIMITS)
        few = list(kept.list_homes(0.0, [SYSTEM, TURN], ENGINES, FLEET))
        for index in range(40):
            kept.on_request(0.1 * index, [SYSTEM, own(index)])
        many = list(kept.list_homes(4.0, [SYSTEM, TURN], ENGINES, FLEET))
        self.assertEqual(many[: len(few)], few)
        self.assertGreater(len(many), len(few))
        crowded = KeptPrompts(LIMITS)
        crowded.on_crowded(0.0, [SYSTEM, TURN])
        self.assertEqual(len(crowded.list_homes(0.0, [SYSTEM, TURN], ENGINES, FLEET)), len(few) + 1)


class CostTest(unittest.TestCase):
    def choose(self, *views, stream=STREAM):
        rule = PlacementRule(PlacementLimits(), random.Random(1))
        return min(views, key=lambda view: rule.cost(stream, view)).engine

    def test_kept_tokens_are_weighed_against_the_wait(self):
        keeper = replace(IDLE, engine="keeper", kept_tokens=5_000)
        self.assertEqual(self.choose(IDLE, replace(keeper, tokens_ahead=3_000.0)), "keeper")
        self.assertEqual(self.choose(IDLE, replace(keeper, tokens_ahead=6_000.0)), "idle")
        far = replace(keeper, is_local=False)
        self.assertEqual(self.choose(IDLE, far), "keeper")
        self.assertEqual(self.choose(IDLE, replace(far, kept_tokens=500)), "idle")

    def test_tokens_ahead_count_rather_than_prompts(self):
        """Guards against a place behind one long prompt instead of two short ones."""
        long = replace(IDLE, engine="long", waiting=1, tokens_ahead=14_000.0)
        short = replace(IDLE, engine="short", waiting=2, tokens_ahead=2_000.0)
        self.assertEqual(self.choose(long, short), "short")


if __name__ == "__main__":
    unittest.main()
