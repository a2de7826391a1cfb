"""What the parts of the model share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from sapphireledge.core.quarantine import CrashReport
    from sapphireledge_experiment.model.engine_run import EngineRun
    from sapphireledge_experiment.model.simulated_engine import SimulatedEngine
    from sapphireledge_experiment.model.simulated_plain_server import SimulatedPlainServer
    from sapphireledge_experiment.model.virtual_clock import VirtualClock
    from sapphireledge_experiment.settings import Experiment, Policy

__all__ = ["ModelContext"]


class ModelContext(Protocol):
    """What the parts of the model share; `World` implements it."""

    experiment: Experiment
    """Fleet, traffic and troubles."""

    policy: Policy
    """The policy."""

    seed: int
    """Seed of all random choices."""

    clock: VirtualClock
    """Clock of the model."""

    caller_rng: Random
    """Source of the random choices of callers."""

    engines: dict[str, SimulatedEngine]
    """All incarnations of engines by server id, also those that have ended."""

    plain_servers: dict[str, SimulatedPlainServer]
    """All incarnations of plain servers by server id, also those that have ended."""

    crash_report: CrashReport
    """Deaths and clearings on record, which an instance reads when it starts."""

    retries: int
    """Attempts after the first one of a call."""

    def count_instances(self) -> int:
        """Counts the instances that share budgets."""

    def list_living_engines(self) -> Iterator[tuple[str, SimulatedEngine]]:
        """Lists the engines that live and report, with their server ids."""

    def share_crash_report(self, sender: object, news: CrashReport) -> None:
        """Puts deaths and clearings on record and lets the other instances know after a delay.

        Args:
            sender: Watch that found them, which knows them already.
            news: Deaths and clearings.
        """

    def record_run(self, run: EngineRun, cause: str) -> None:
        """Records the tokens of a run that has ended.

        Args:
            run: The run.
            cause: Why it ended early, empty if it did not.
        """

    def count_arrival(self, server: SimulatedEngine | SimulatedPlainServer) -> None:
        """Counts a request that arrives at a server which may name a rate."""
