"""Fleet, callers and troubles of one policy and one seed."""

from __future__ import annotations

from collections import Counter, defaultdict
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.quarantine import CrashReport
from sapphireledge_experiment.model.ending import Ending
from sapphireledge_experiment.model.rate_check import RateCheck
from sapphireledge_experiment.model.seed_result import SeedResult
from sapphireledge_experiment.model.simulated_caller import SimulatedCaller
from sapphireledge_experiment.model.simulated_engine import SimulatedEngine
from sapphireledge_experiment.model.simulated_instance import (
    ENGINES,
    PLAIN_SERVERS,
    SimulatedInstance,
)
from sapphireledge_experiment.model.simulated_plain_server import SimulatedPlainServer
from sapphireledge_experiment.model.traffic import draw_requests
from sapphireledge_experiment.model.trouble_maker import TroubleMaker
from sapphireledge_experiment.model.virtual_clock import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sapphireledge_experiment.model.engine_run import EngineRun
    from sapphireledge_experiment.model.modelled_request import ModelledRequest
    from sapphireledge_experiment.settings import Experiment, Policy, RequestKind

__all__ = ["World"]

DRAIN_TIME = 30.0
"""Seconds after the last arrival for which the model goes on at most."""

SAMPLE_INTERVAL = 1.0
"""Seconds between two samples of the occupancy."""


class World:
    """Everything that one policy is played with under one seed.

    Machines have places; when one ends, another incarnation starts in its place.
    """

    def __init__(self, experiment: Experiment, policy: Policy, seed: int) -> None:
        """Starts the fleet at time 0.

        Args:
            experiment: Fleet, traffic and troubles.
            policy: The policy.
            seed: Seed of all random choices.
        """
        self.experiment = experiment
        """Fleet, traffic and troubles."""

        self.policy = policy
        """The policy."""

        self.seed = seed
        """Seed of all random choices."""

        self.clock = VirtualClock()
        """Clock of the model."""

        self.caller_rng = Random(f"{seed}/callers")
        """Source of the random choices of callers."""

        self.engines: dict[str, SimulatedEngine] = {}
        """All incarnations of engines by server id, also those that have ended."""

        self.plain_servers: dict[str, SimulatedPlainServer] = {}
        """All incarnations of plain servers by server id, also those that have ended."""

        self.engine_places: list[SimulatedEngine] = []
        """Current incarnation at each place of an engine."""

        self.plain_places: list[SimulatedPlainServer] = []
        """Current incarnation at each place of a plain server."""

        self.instance_places: list[SimulatedInstance] = []
        """Current incarnation at each place of an instance."""

        self.crash_report = CrashReport()
        """Deaths and clearings on record, which an instance reads when it starts."""

        self.retries = 0
        """Attempts after the first one of a call."""

        self._directory: dict[str, tuple[str, int]] = {}
        self._starts = Counter[str]()
        self._run_tokens: dict[int, Counter[str]] = defaultdict(Counter)
        self._rate_checks: dict[str, RateCheck] = {}
        self._occupancy: list[list[float]] = []
        fleet = experiment.fleet
        for place in range(fleet.engines):
            self.engine_places.append(self.start_engine(place))
        for place in range(fleet.plain_servers):
            self.plain_places.append(self.start_plain_server(place))
        for place in range(fleet.instances):
            self.instance_places.append(self.start_instance(place))
        self._requests = draw_requests(experiment, seed)
        for request in self._requests:
            self.clock.at(request.arrived, lambda r=request: SimulatedCaller(self, r))
        TroubleMaker(self).schedule()
        self.clock.at(0.0, self._sample)

    def run(self) -> SeedResult:
        """Plays until all requests have ended.

        Returns:
            The figures.
        """
        longest = max(kind.time_limit for kind in self.experiment.kinds)
        self.clock.run(self.experiment.duration + max(longest, DRAIN_TIME) + 1.0)
        return self._build_result()

    def count_instances(self) -> int:
        """Counts the instances that share budgets."""
        return len(self.instance_places)

    def choose_instance(self, data_centre: int) -> SimulatedInstance | None:
        """Chooses a living instance for a caller, in its data centre if possible."""
        living = [instance for instance in self.instance_places if not instance.is_dead]
        local = [instance for instance in living if instance.data_centre == data_centre]
        chosen = local or living
        return self.caller_rng.choice(chosen) if chosen else None

    def list_living_engines(self) -> Iterator[tuple[str, SimulatedEngine]]:
        """Lists the engines that live and report, with their server ids."""
        for engine in self.engine_places:
            if not (engine.is_dead or engine.is_silent):
                yield engine.name, engine

    # Machines.

    def start_engine(self, place: int) -> SimulatedEngine:
        """Starts an engine at a place and announces it."""
        fleet = self.experiment.fleet
        name = self._name("engine", place)
        engine = SimulatedEngine(name, place % fleet.data_centres, fleet.engine, self.clock)
        engine.on_crash = lambda: self._end_crashed(engine, place)
        self.engines[name] = engine
        self._announce(name, ENGINES, engine.data_centre)
        return engine

    def start_plain_server(self, place: int) -> SimulatedPlainServer:
        """Starts a plain server at a place and announces it."""
        fleet = self.experiment.fleet
        name = self._name("plain", place)
        centre = place % fleet.data_centres
        rng = Random(f"{self.seed}/{name}")
        server = SimulatedPlainServer(name, centre, fleet.plain_server, self.clock, rng)
        self.plain_servers[name] = server
        self._announce(name, PLAIN_SERVERS, centre)
        return server

    def start_instance(self, place: int) -> SimulatedInstance:
        """Starts an instance at a place, which knows what the directory lists."""
        name = self._name("instance", place)
        instance = SimulatedInstance(self, name, place % self.experiment.fleet.data_centres)
        for server, (service, data_centre) in self._directory.items():
            instance.learn(server, service, data_centre)
        return instance

    def end_engine(
        self, place: int, *, is_reset: bool = True, restart_time: float | None = None
    ) -> None:
        """Ends the engine at a place; another one starts there later."""
        engine = self.engine_places[place]
        if engine.is_dead:
            return
        engine.die(is_reset=is_reset)
        self._withdraw(engine.name)

        def restart() -> None:
            self.engine_places[place] = self.start_engine(place)

        usual = self.experiment.fleet.engine.restart_time
        self.clock.after(usual if restart_time is None else restart_time, restart)

    def _end_crashed(self, engine: SimulatedEngine, place: int) -> None:
        """Ends an engine that a stream crashed, unless it has ended before."""
        if self.engine_places[place] is engine:
            self.end_engine(place)

    def end_plain_server(self, place: int, *, restart_time: float | None = None) -> None:
        """Ends the plain server at a place; another one starts there later."""
        server = self.plain_places[place]
        if server.is_dead:
            return
        server.die()
        self._withdraw(server.name)

        def restart() -> None:
            self.plain_places[place] = self.start_plain_server(place)

        usual = self.experiment.fleet.plain_server.restart_time
        self.clock.after(usual if restart_time is None else restart_time, restart)

    def end_instance(self, place: int, *, restart_time: float | None = None) -> None:
        """Ends the instance at a place; another one starts there later."""
        instance = self.instance_places[place]
        if instance.is_dead:
            return
        instance.die()

        def restart() -> None:
            self.instance_places[place] = self.start_instance(place)

        usual = self.experiment.fleet.instance_restart_time
        self.clock.after(usual if restart_time is None else restart_time, restart)

    def share_crash_report(self, sender: object, news: CrashReport) -> None:
        """Puts deaths and clearings on record and lets the other instances know after a delay."""
        oldest = self.clock.now - self.policy.quarantine.retention
        self.crash_report = self.crash_report.merge(news, oldest)

        def learn() -> None:
            """Lets the instances know that live now."""
            for instance in self.instance_places:
                if not instance.is_dead and instance.crashes is not sender:
                    instance.crashes.learn(news)

        self.clock.after(self.experiment.fleet.directory_delay, learn)

    def _name(self, role: str, place: int) -> str:
        """Names the next incarnation at a place."""
        self._starts[f"{role}-{place}"] += 1
        return f"{role}-{place}.{self._starts[f'{role}-{place}']}"

    def _announce(self, name: str, service: str, data_centre: int) -> None:
        """Lets all instances know of a server, at once at the start and after a delay later."""
        self._directory[name] = (service, data_centre)

        def learn() -> None:
            for instance in self.instance_places:
                if not instance.is_dead and name in self._directory:
                    instance.learn(name, service, data_centre)

        if self.clock.now:
            self.clock.after(self.experiment.fleet.directory_delay, learn)

    def _withdraw(self, name: str) -> None:
        """Lets all instances know after a delay that a server has ended."""
        self._directory.pop(name, None)

        def forget() -> None:
            for instance in self.instance_places:
                instance.registry.remove(name)

        self.clock.after(self.experiment.fleet.directory_delay, forget)

    # Figures.

    def record_run(self, run: EngineRun, cause: str) -> None:
        """Records the tokens of a run that has ended, and why it ended early, if it did."""
        self._run_tokens[run.request.number][cause] += run.processed

    def count_arrival(self, server: SimulatedEngine | SimulatedPlainServer) -> None:
        """Counts a request that arrives at a server which may name a rate."""
        check = self._rate_checks.setdefault(server.name, RateCheck())
        check.count(self.clock.now, server.signals.rate_limit)

    def _sample(self) -> None:
        """Samples the occupancy of the engines."""
        slots = self.experiment.fleet.engine.slots
        self._occupancy.append(
            [round(len(engine.running) / slots, 3) for engine in self.engine_places]
        )
        if self.clock.now < self.experiment.duration:
            self.clock.after(SAMPLE_INTERVAL, self._sample)

    def _build_result(self) -> SeedResult:
        """Adds up the figures of all requests."""
        served = (Ending.ON_TIME, Ending.LATE)
        endings = Counter[str]()
        by_kind: dict[str, Counter[str]] = {kind.name: Counter() for kind in self.experiment.kinds}
        worth_asked = worth_earned = 0.0
        first_events: dict[str, list[float]] = defaultdict(list)
        losses = Counter[str]()
        timeline: dict[int, list[int]] = {
            second: [0, 0] for second in range(int(self.experiment.duration) + 1)
        }
        for request in self._requests:
            ending = request.ending or Ending.FAILED
            endings[ending.value] += 1
            by_kind[request.kind.name][ending.value] += 1
            worth_asked += request.kind.worth
            worth_earned += _compute_worth(request.kind, ending)
            bin_ = timeline[int(request.arrived)]
            bin_[0] += 1
            bin_[1] += ending in served
            if request.first_event_at is not None:
                delay = request.first_event_at - request.arrived
                first_events[str(request.kind.rank)].append(round(delay, 6))
            self._add_losses(request, ending in served, losses)
        engines = self.engines.values()
        return SeedResult(
            policy=self.policy.name,
            seed=self.seed,
            asked=len(self._requests),
            endings={ending.value: endings[ending.value] for ending in Ending},
            endings_by_kind={name: dict(sorted(found.items())) for name, found in by_kind.items()},
            worth_share=round(worth_earned / worth_asked, 6) if worth_asked else 0.0,
            first_events=dict(sorted(first_events.items())),
            processed_tokens=sum(engine.processed for engine in engines),
            vain_tokens=sum(losses.values()),
            losses=dict(sorted(losses.items())),
            over_limit=sum(check.over for check in self._rate_checks.values()),
            preemptions=sum(engine.preemptions for engine in engines),
            retries=self.retries,
            timeline=[(float(s), asked, ok) for s, (asked, ok) in timeline.items()],
            occupancy=self._occupancy,
            events=self.clock.events,
        )

    def _add_losses(self, request: ModelledRequest, is_served: bool, losses: Counter[str]) -> None:
        """Adds the tokens of a request that were processed in vain, by the cause of the loss."""
        runs = self._run_tokens.get(request.number)
        if not runs:
            return
        if not is_served:
            for cause, tokens in runs.items():
                losses[cause or "cut after the last event"] += tokens
            return
        # Of several runs, those that ended early are in vain beyond what one run would have taken.
        needed = request.prompt_tokens + request.output_tokens
        excess = max(0, sum(runs.values()) - needed)
        if not excess:
            return
        causes = [cause for cause in runs if cause] or ["memory taken by another run"]
        for cause in causes:
            losses[cause] += excess // len(causes)


def _compute_worth(kind: RequestKind, ending: Ending) -> float:
    """Computes what a request was worth to its caller by how it ended."""
    if ending is Ending.ON_TIME:
        return kind.worth
    return kind.worth * kind.late_worth if ending is Ending.LATE else 0.0
