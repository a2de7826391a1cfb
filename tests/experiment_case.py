"""Small experiments and a watch over the model that plays them."""

from __future__ import annotations

from collections import Counter
from unittest import mock

from sapphireledge_experiment.model import World
from sapphireledge_experiment.model.simulated_caller import SimulatedCaller
from sapphireledge_experiment.model.stream_driver import StreamDriver
from sapphireledge_experiment.settings import (
    EngineSpec,
    Experiment,
    FleetSpec,
    PlainServerSpec,
    Policy,
    RequestKind,
    Trouble,
    TroubleKind,
)

WATCH_INTERVAL = 0.05
"""Seconds of the virtual clock between two looks at the machines."""


def make_experiment(**fields) -> Experiment:
    """Builds an experiment of a few seconds on a few machines with little memory."""
    engine = EngineSpec(slots=3, queue=6, memory=9_000, restart_time=1.0, cached_prefixes=2)
    fleet = FleetSpec(2, 3, 4, 2, engine=engine, plain_server=PlainServerSpec(slots=2, queue=4))
    defaults = {
        "name": "small",
        "kinds": (
            RequestKind("brief", 6.0, prompt_tokens=1_500, output_events=90, prefixes=3),
            RequestKind("lookup", 8.0, is_stream=False, target=0.6, patience=1.2, time_limit=1.2),
        ),
        "policies": (Policy("current"), Policy("send-at-once", hold=False)),
        "fleet": fleet,
        "troubles": (Trouble(TroubleKind.ENGINES_DIE, 2.0, share=0.5),),
        "duration": 4.0,
        "seeds": 2,
    }
    return Experiment(**{**defaults, **fields})


class WatchedWorld:
    """Plays one seed and notes every property that does not hold."""

    def __init__(self, experiment: Experiment, policy: Policy, seed: int):
        self.problems: Counter[str] = Counter()
        self.ends: Counter[int] = Counter()
        self.last_time = 0.0
        watched = (
            mock.patch.object(StreamDriver, "_on_event", self.wrap_event(StreamDriver._on_event)),
            mock.patch.object(SimulatedCaller, "_finish", self.wrap_end(SimulatedCaller._finish)),
        )
        for patch in watched:
            patch.start()
        try:
            self.world = World(experiment, policy, seed)
            self.world.clock.at(0.0, self.look)
            self.result = self.world.run()
        finally:
            for patch in watched:
                patch.stop()
        self.check_end()

    def note(self, is_kept: bool, problem: str) -> None:
        if not is_kept:
            self.problems[problem] += 1

    def wrap_event(self, original):
        def on_event(driver, run):
            if run is driver._run:
                self.note(not driver._engine.is_dead, "event of a dead engine")
            original(driver, run)

        return on_event

    def wrap_end(self, original):
        def finish(caller, ending):
            self.ends[caller._request.number] += 1
            original(caller, ending)

        return finish

    def look(self) -> None:
        """Checks all machines, and comes back while the clock runs."""
        self.note(self.world.clock.now >= self.last_time, "time went back")
        self.last_time = self.world.clock.now
        for engine in self.world.engines.values():
            self.note(len(engine.running) <= engine.cfg.slots, "more runs than slots")
            self.note(engine.free_blocks >= 0, "less memory than none")
            used = engine.free_blocks + engine.used_blocks
            self.note(used == engine.total_blocks, "memory lost or invented")
            self.note(not (engine.is_dead and engine.running), "runs on a dead engine")
        self.world.clock.after(WATCH_INTERVAL, self.look)

    def check_end(self) -> None:
        requests = self.world._requests
        for request in requests:
            self.note(self.ends[request.number] == 1, "request without exactly one end")
            if request.kind.is_stream:
                complete = request.ending is not None and request.ending.value in (
                    "on_time",
                    "late",
                )
                self.note(request.delivered <= request.output_events, "more events than asked for")
                is_whole = request.delivered == request.output_events
                self.note(is_whole or not complete, "complete answer with events missing")
        recorded = sum(sum(tokens.values()) for tokens in self.world._run_tokens.values())
        self.note(recorded == self.result.processed_tokens, "tokens lost or invented")
        self.note(sum(self.result.endings.values()) == len(requests), "requests lost or invented")
        for engine in self.world.engines.values():
            self.note(engine.free_blocks == engine.total_blocks, "memory held after the end")
        for instance in self.world.instance_places:
            if instance.queue is not None and not instance.is_dead:
                self.note(instance.queue.is_empty, "work queued or running after the end")
