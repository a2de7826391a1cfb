"""Property tests of the model of a fleet, and planted faults that they must find."""

from __future__ import annotations

import heapq
import unittest
from collections import Counter
from pathlib import Path
from unittest import mock

from experiment_case import WatchedWorld, make_experiment
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphireledge.core.admission import RankScheduler
from sapphireledge.core.placement import PlacementRule
from sapphireledge.settings import QuarantineSettings, load_checked_file
from sapphireledge_experiment.model import SimulatedEngine, VirtualClock, World
from sapphireledge_experiment.model.simulated_caller import SimulatedCaller
from sapphireledge_experiment.model.stream_driver import StreamDriver
from sapphireledge_experiment.model.stream_queue import StreamQueue
from sapphireledge_experiment.model.tried_engines import TriedEngines
from sapphireledge_experiment.settings import (
    Experiment,
    Policy,
    RequestKind,
    Trouble,
    TroubleKind,
)

TROUBLES = st.builds(
    Trouble,
    kind=st.sampled_from(TroubleKind),
    at=st.floats(0.0, 4.0),
    duration=st.floats(0.0, 3.0),
    share=st.sampled_from((0.3, 0.5, 1.0)),
    data_centre=st.sampled_from((None, 0, 1)),
    factor=st.floats(0.3, 6.0),
)
POLICIES = st.builds(
    Policy,
    name=st.just("drawn"),
    hold=st.booleans(),
    copies=st.booleans(),
    rank_scheduler=st.booleans(),
    hand_over=st.booleans(),
    wait_in_order=st.booleans(),
    resumes_per_engine=st.integers(0, 2),
    spread_standby=st.booleans(),
    refuse_early=st.booleans(),
)
ROOT = Path(__file__).resolve().parent.parent
FLOOD = ROOT / "experiments" / "flood-and-lost-data-centre.json"
MANY_TROUBLES = (
    Trouble(TroubleKind.ENGINES_DIE, 1.0, share=0.5),
    Trouble(TroubleKind.ENGINES_SILENT, 1.5, duration=2.0, share=0.5),
    Trouble(TroubleKind.INSTANCES_DIE, 2.5, share=0.5),
    Trouble(TroubleKind.ENGINES_DIE, 3.0),
)


def play(seed=0, policy=None, **fields):
    return WatchedWorld(make_experiment(**fields), policy or Policy("current"), seed)


class PropertyTest(unittest.TestCase):
    """Guards against a model that loses or invents slots, memory, tokens, requests or time."""

    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 10_000),
        troubles=st.lists(TROUBLES, max_size=4),
        policy=POLICIES,
        rate=st.sampled_from((1.0, 4.0, 12.0)),
        crashing=st.integers(0, 1),
    )
    def test_nothing_is_lost_or_invented(self, seed, troubles, policy, rate, crashing):
        kinds = (
            RequestKind(
                "brief",
                rate,
                prompt_tokens=2_500,
                output_events=60,
                prefixes=3,
                crashing_prefixes=crashing,
            ),
            RequestKind("lookup", 8.0, is_stream=False, target=0.6, patience=1.2, time_limit=1.2),
        )
        watched = play(seed, policy, kinds=kinds, troubles=tuple(troubles))
        self.assertEqual(dict(watched.problems), {})

    def test_troubles_are_felt(self):
        calm, troubled = play(troubles=()), play(troubles=MANY_TROUBLES)
        self.assertEqual(dict(calm.problems) | dict(troubled.problems), {})
        self.assertEqual(calm.result.endings["failed"], 0)
        self.assertGreater(troubled.result.vain_tokens, calm.result.vain_tokens)

    def test_decisions_in_force_are_called(self):
        with mock.patch.object(
            PlacementRule, "decide", autospec=True, side_effect=PlacementRule.decide
        ) as decide:
            play()
        self.assertGreater(decide.call_count, 0)

    def test_rank_scheduler_in_force_is_called(self):
        with mock.patch.object(
            RankScheduler, "next", autospec=True, side_effect=RankScheduler.next
        ) as admit:
            watched = play(policy=Policy("drawn", rank_scheduler=True))
        self.assertGreater(admit.call_count, 0)
        self.assertEqual(dict(watched.problems), {})


class CrashTest(unittest.TestCase):
    """Guards against a prompt that ends one engine after the other."""

    def play(self, seed, quarantine):
        """Plays the shipped file."""
        experiment = load_checked_file(ROOT / "experiments" / "crashing-prompt.json", Experiment)
        world = World(experiment, Policy("drawn", quarantine=quarantine), seed)
        world.run()
        return world

    def test_quarantine_finds_the_prompt_and_saves_engines(self):
        never = QuarantineSettings(isolate_after=10, condemn_after=10, burst_size=100)
        for seed in range(5):
            with self.subTest(seed):
                world = self.play(seed, Policy("current").quarantine)
                self.assertLess(len(world.engines), len(self.play(seed, never).engines))
                deaths = world.crash_report.deaths
                self.assertGreaterEqual(len(deaths), world.policy.quarantine.condemn_after)
                for instance in world.instance_places:
                    found = instance.crashes.find_crashing_parts()
                    self.assertEqual(found, {"p0"})


class FloodTest(unittest.TestCase):
    """Guards against a change that gives away what a policy gained in the flood it was made for."""

    def test_refusing_what_cannot_end_in_time_reduces_failed_streams(self):
        """Replays the flood of the shipped file, with and without the expected time to the end."""
        experiment = load_checked_file(FLOOD, Experiment)
        failed, on_time = Counter(), Counter()
        for finish_estimate in (False, True):
            policy = Policy("drawn", finish_estimate=finish_estimate)
            for seed in range(8):
                result = World(experiment, policy, seed).run()
                failed[finish_estimate] += result.endings["failed"]
                on_time[finish_estimate] += result.endings["on_time"]
        self.assertLess(failed[True], 0.8 * failed[False])
        self.assertGreater(on_time[True], on_time[False])


class PlantedFaultTest(unittest.TestCase):
    """Guards against property tests that would pass whatever the model does."""

    def find(self, target, name, replacement, troubles=MANY_TROUBLES, policy=None):
        """Plays seeds with a fault in the model, and returns the problems that are noted."""
        found = set()
        with mock.patch.object(target, name, replacement):
            for seed in range(8):
                found |= set(play(seed, policy, troubles=troubles).problems)
        return found

    def test_memory_that_is_not_freed(self):
        def remove(engine, run):
            if run in engine.running:
                engine.running.remove(run)
            elif run in engine.waiting:
                engine.waiting.remove(run)
            run.blocks = 0

        self.assertIn("memory lost or invented", self.find(SimulatedEngine, "_remove", remove))

    def test_slot_that_the_queue_does_not_release(self):
        policy = Policy("drawn", rank_scheduler=True)
        found = self.find(StreamQueue, "end", lambda queue, work_id: None, policy=policy)
        self.assertIn("work queued or running after the end", found)

    def test_copy_that_is_not_released(self):
        callers_go_on = (Trouble(TroubleKind.INSTANCES_DIE, 2.5),)
        found = self.find(TriedEngines, "release_copy", lambda tried: None, callers_go_on)
        self.assertIn("memory held after the end", found)

    def test_slots_that_are_not_respected(self):
        original = SimulatedEngine._fill_slots

        def fill(engine):
            original(engine)
            if engine.waiting and engine.free_blocks > 100:
                engine.running.append(engine.waiting.pop(0))

        self.assertIn("more runs than slots", self.find(SimulatedEngine, "_fill_slots", fill))

    def test_engine_that_goes_on_after_its_death(self):
        def die(engine, *, is_reset=True):
            engine.is_dead = True

        self.assertIn("runs on a dead engine", self.find(SimulatedEngine, "die", die))

    def test_event_of_a_dead_engine(self):
        original = SimulatedEngine.die

        def die(engine, *, is_reset=True):
            running = list(engine.running)
            for run in running:
                engine.is_dead = True
                run.on_event(run)
            original(engine, is_reset=is_reset)

        self.assertIn("event of a dead engine", self.find(SimulatedEngine, "die", die))

    def test_event_that_is_delivered_twice(self):
        original = SimulatedCaller.on_event

        def on_event(caller, driver, at):
            original(caller, driver, at)
            original(caller, driver, at)

        found = self.find(SimulatedCaller, "on_event", on_event)
        self.assertIn("more events than asked for", found)

    def test_request_that_ends_twice(self):
        original = SimulatedCaller._finish

        def finish(caller, ending):
            original(caller, ending)
            if caller._request.number % 5 == 0:
                caller._request.ending = None

        found = self.find(SimulatedCaller, "_finish", finish)
        self.assertIn("request without exactly one end", found)

    def test_tokens_that_are_not_recorded(self):
        def finish_run(driver, cause):
            driver._run = driver._watch = None

        found = self.find(StreamDriver, "_finish_run", finish_run)
        self.assertIn("tokens lost or invented", found)

    def test_time_that_goes_back(self):
        def at(clock, time, callback):
            number = next(clock._numbers)
            early = 0.3 if number % 50 == 0 else 0.0
            heapq.heappush(clock._queue, (time - early, number, callback))

        self.assertIn("time went back", self.find(VirtualClock, "at", at))


if __name__ == "__main__":
    unittest.main()
