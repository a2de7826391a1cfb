"""Troubles of an experiment."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.backpressure import ServerSignals
from sapphireledge_experiment.settings import TroubleKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from sapphireledge_experiment.model.machine_places import MachinePlaces
    from sapphireledge_experiment.model.simulated_engine import SimulatedEngine
    from sapphireledge_experiment.settings import Trouble

__all__ = ["TroubleMaker"]


class TroubleMaker:
    """Draws the machines that each trouble hits, and changes them."""

    def __init__(self, world: MachinePlaces) -> None:
        """Creates the troubles of a world.

        Args:
            world: The machines.
        """
        self._world = world
        self._clock = world.clock
        self._actions: dict[TroubleKind, Callable[[Trouble], None]] = {
            TroubleKind.ENGINES_DIE: self._end_engines,
            TroubleKind.ENGINES_VANISH: self._cut_power,
            TroubleKind.ENGINES_SILENT: self._silence,
            TroubleKind.ENGINES_SLOW: self._slow_down,
            TroubleKind.ENGINES_REJECT: self._reject,
            TroubleKind.ENGINES_LIMITED: self._limit_engines,
            TroubleKind.ENGINES_LEAVE: self._leave,
            TroubleKind.PLAIN_DIE: self._end_plain_servers,
            TroubleKind.PLAIN_LIMITED: self._limit_plain_servers,
            TroubleKind.INSTANCES_DIE: self._end_instances,
        }

    def schedule(self) -> None:
        """Schedules all troubles."""
        for trouble in self._world.experiment.troubles:
            action = self._actions[trouble.kind]
            self._clock.at(trouble.at, lambda t=trouble, a=action: a(t))

    def _draw(self, trouble: Trouble, machines: list[Any]) -> list[int]:
        """Draws the places that a trouble hits."""
        index = self._world.experiment.troubles.index(trouble)
        rng = Random(f"{self._world.seed}/trouble {index}")
        places = [
            place
            for place, machine in enumerate(machines)
            if trouble.data_centre in (None, machine.data_centre)
        ]
        return sorted(rng.sample(places, round(trouble.share * len(places))))

    def _draw_engines(self, trouble: Trouble) -> list[SimulatedEngine]:
        """Draws the current incarnations of engines that a trouble hits."""
        engines = self._world.engine_places
        return [engines[place] for place in self._draw(trouble, engines)]

    def _end_engines(self, trouble: Trouble) -> None:
        for place in self._draw(trouble, self._world.engine_places):
            self._world.end_engine(place, restart_time=trouble.restart_time)

    def _cut_power(self, trouble: Trouble) -> None:
        for place in self._draw(trouble, self._world.engine_places):
            self._world.end_engine(place, is_reset=False, restart_time=trouble.restart_time)

    def _silence(self, trouble: Trouble) -> None:
        for engine in self._draw_engines(trouble):
            engine.is_silent = True
            self._clock.after(trouble.duration, engine.resume)

    def _slow_down(self, trouble: Trouble) -> None:
        for engine in self._draw_engines(trouble):
            engine.slowness = trouble.factor
            self._clock.after(trouble.duration, lambda e=engine: setattr(e, "slowness", 1.0))

    def _reject(self, trouble: Trouble) -> None:
        for engine in self._draw_engines(trouble):
            engine.is_rejecting = True
            engine.signals = replace(engine.signals, pause=trouble.pause)
            self._clock.after(trouble.duration, lambda e=engine: self._accept_again(e))

    def _accept_again(self, engine: SimulatedEngine) -> None:
        engine.is_rejecting = False
        engine.signals = replace(engine.signals, pause=None)

    def _limit_engines(self, trouble: Trouble) -> None:
        self._limit(trouble, self._draw_engines(trouble))

    def _limit_plain_servers(self, trouble: Trouble) -> None:
        servers = self._world.plain_places
        self._limit(trouble, [servers[place] for place in self._draw(trouble, servers)])

    def _limit(self, trouble: Trouble, servers: list[Any]) -> None:
        """Lets servers name a rate for a while."""
        for server in servers:
            server.signals = replace(server.signals, rate_limit=trouble.factor)
            self._clock.after(
                trouble.duration,
                lambda s=server: setattr(s, "signals", replace(s.signals, rate_limit=None)),
            )

    def _leave(self, trouble: Trouble) -> None:
        engines = self._world.engine_places
        for place in self._draw(trouble, engines):
            engines[place].signals = ServerSignals(is_leaving=True)
            self._clock.after(
                trouble.duration,
                lambda p=place: self._world.end_engine(p, restart_time=trouble.restart_time),
            )

    def _end_plain_servers(self, trouble: Trouble) -> None:
        for place in self._draw(trouble, self._world.plain_places):
            self._world.end_plain_server(place, restart_time=trouble.restart_time)

    def _end_instances(self, trouble: Trouble) -> None:
        for place in self._draw(trouble, self._world.instance_places):
            self._world.end_instance(place, restart_time=trouble.restart_time)
