"""Contents of an experiment file, JSON with comments."""

from __future__ import annotations

from sapphireledge_experiment.settings.engine_spec import EngineSpec
from sapphireledge_experiment.settings.experiment import Experiment
from sapphireledge_experiment.settings.fleet_spec import FleetSpec
from sapphireledge_experiment.settings.plain_server_spec import PlainServerSpec
from sapphireledge_experiment.settings.policy import Policy
from sapphireledge_experiment.settings.request_kind import RequestKind
from sapphireledge_experiment.settings.trouble import Trouble
from sapphireledge_experiment.settings.trouble_kind import TroubleKind

__all__ = [
    "EngineSpec",
    "Experiment",
    "FleetSpec",
    "PlainServerSpec",
    "Policy",
    "RequestKind",
    "Trouble",
    "TroubleKind",
]
