"""Model of a fleet on a virtual clock, which calls the decisions of the instances."""

from __future__ import annotations

from sapphireledge_experiment.model.ending import Ending
from sapphireledge_experiment.model.engine_run import EngineRun
from sapphireledge_experiment.model.modelled_request import ModelledRequest
from sapphireledge_experiment.model.seed_result import SeedResult
from sapphireledge_experiment.model.simulated_engine import SimulatedEngine
from sapphireledge_experiment.model.virtual_clock import VirtualClock
from sapphireledge_experiment.model.world import World

__all__ = [
    "Ending",
    "EngineRun",
    "ModelledRequest",
    "SeedResult",
    "SimulatedEngine",
    "VirtualClock",
    "World",
]
