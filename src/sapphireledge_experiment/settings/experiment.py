"""Contents of an experiment file."""

from __future__ import annotations

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting
from sapphireledge_experiment.settings.fleet_spec import FleetSpec
from sapphireledge_experiment.settings.policy import Policy
from sapphireledge_experiment.settings.request_kind import RequestKind
from sapphireledge_experiment.settings.trouble import Trouble

__all__ = ["Experiment"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Experiment:
    """Fleet, traffic, troubles, and the policies to compare."""

    name: str = setting(..., min_length=1)
    """Name in the report."""

    kinds: tuple[RequestKind, ...] = setting(..., min_length=1)
    """Kinds of requests."""

    policies: tuple[Policy, ...] = setting(..., min_length=1)
    """Policies; the first one is the baseline unless another is named."""

    fleet: FleetSpec = Field(default_factory=FleetSpec)
    """Machines and network."""

    troubles: tuple[Trouble, ...] = ()
    """Troubles by time."""

    duration: float = setting(30.0, unit="s", ge=0.1, le=36_000)
    """Time during which requests arrive."""

    seeds: int = setting(20, unit="seeds", ge=1, le=100_000)
    """Number of seeds, counted from 0, that each policy is played with."""

    def __post_init__(self) -> None:
        """Checks that names tell kinds and policies apart."""
        for field, entries in (("kinds", self.kinds), ("policies", self.policies)):
            names = [entry.name for entry in entries]
            if len(set(names)) < len(names):
                raise ValueError(f"two of the {field} have the same name")
