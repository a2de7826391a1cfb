"""Entry instance with its own late view of the servers."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.placement import FirstEventEstimator, GenerationEstimator, PlacementRule
from sapphireledge.gateway.backend_registry import BackendRegistry
from sapphireledge.gateway.backend_server import BackendServer
from sapphireledge.gateway.gateway_settings import GatewaySettings
from sapphireledge.gateway.retry_allowance import RetryAllowance
from sapphireledge_experiment.model.crash_watch import CrashWatch
from sapphireledge_experiment.model.stream_queue import StreamQueue

if TYPE_CHECKING:
    from collections.abc import Hashable

    from sapphireledge.core.backpressure import ServerSignals
    from sapphireledge_experiment.model.call_driver import CallDriver
    from sapphireledge_experiment.model.model_context import ModelContext

__all__ = ["ENGINES", "PLAIN_SERVERS", "SimulatedInstance"]

ENGINES = "engines"
"""Service of the engines."""

PLAIN_SERVERS = "plain"
"""Service of the plain servers."""

RECENT_WINDOW = 1.0
"""Seconds for which resumes to one engine are counted."""


class SimulatedInstance:
    """One incarnation of an entry instance: its registry, allowances, estimates and calls."""

    def __init__(self, world: ModelContext, name: str, data_centre: int) -> None:
        """Starts an instance that knows the servers that the directory lists now.

        Args:
            world: Everything else.
            name: Name, unique for the incarnation.
            data_centre: Number of its data centre.
        """
        self.world = world
        """Everything else."""

        self.name = name
        """Name, unique for the incarnation."""

        self.data_centre = data_centre
        """Number of its data centre."""

        self.is_dead = False
        """Whether it has ended."""

        self.rng = Random(f"{world.seed}/{name}")
        """Source of the random choices of this instance."""

        self.rule = PlacementRule(world.policy.placement, self.rng)
        """Placement of streams."""

        self.estimator = FirstEventEstimator()
        """Estimate of the time to the first event."""

        self.generation = GenerationEstimator()
        """Estimate of the time from the first event to the last one."""

        self.registry = BackendRegistry(str(data_centre), name, self.rng)
        """Servers as this instance sees them."""

        self.crashes = CrashWatch(world)
        """Attribution of engine deaths."""

        self.queue = StreamQueue(self) if world.policy.rank_scheduler else None
        """Order of the streams by the rank scheduler, None if the placement rule decides."""

        self.drivers: dict[CallDriver, None] = {}
        """Calls in progress, in order of arrival."""

        self.waiting_due: dict[Hashable, float] = {}
        """Streams that wait for an engine, with the time at which each is due."""

        self._dispatches: list[tuple[float, str]] = []
        self._resumes: list[tuple[float, str]] = []
        cfg = GatewaySettings(name, str(data_centre), "", 1, "", 1, 1, 1.0, 1.0)
        self._allowances = {
            service: RetryAllowance(cfg, world.count_instances)
            for service in (ENGINES, PLAIN_SERVERS)
        }

    def allowance(self, service: str) -> RetryAllowance:
        """Returns the share of the retry budget of a service."""
        return self._allowances[service]

    def learn(self, name: str, service: str, data_centre: int) -> None:
        """Adds a server that has started."""
        self.registry.put(BackendServer(name, service, name, 1, str(data_centre), False, 1))

    def apply_signals(self, server: str, signals: ServerSignals) -> None:
        """Applies what a response of a server asks for."""
        instances = self.world.count_instances()
        self.registry.on_response(self.world.clock.now, server, signals, instances)

    def record_dispatch(self, engine: str, is_resume: bool) -> None:
        """Remembers a stream that the next reports of its engine may not show."""
        self._dispatches.append((self.world.clock.now, engine))
        if is_resume:
            self._resumes.append((self.world.clock.now, engine))

    def count_dispatches(self, engine: str, window: float) -> int:
        """Counts the streams sent to an engine within a time before now."""
        start = self.world.clock.now - window
        self._dispatches = [entry for entry in self._dispatches if entry[0] > start]
        return sum(1 for _, name in self._dispatches if name == engine)

    def count_resumes(self, engine: str) -> int:
        """Counts the resumes sent to an engine within the last second."""
        start = self.world.clock.now - RECENT_WINDOW
        self._resumes = [entry for entry in self._resumes if entry[0] > start]
        return sum(1 for _, name in self._resumes if name == engine)

    def die(self) -> None:
        """Ends the instance and all its calls."""
        self.is_dead = True
        drivers, self.drivers = self.drivers, {}
        self.waiting_due.clear()
        for driver in drivers:
            driver.on_instance_died()
