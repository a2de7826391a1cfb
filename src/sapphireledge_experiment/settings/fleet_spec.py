"""Size of the fleet and its network."""

from __future__ import annotations

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting
from sapphireledge_experiment.settings.engine_spec import EngineSpec
from sapphireledge_experiment.settings.plain_server_spec import PlainServerSpec

__all__ = ["FleetSpec"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class FleetSpec:
    """Size of the fleet and its network; machines are spread evenly over the data centres."""

    data_centres: int = setting(3, unit="data centres", ge=1, le=100)
    """Number of data centres."""

    instances: int = setting(9, unit="instances", ge=1, le=2_000)
    """Number of entry instances."""

    engines: int = setting(21, unit="engines", ge=1, le=10_000)
    """Number of engines."""

    plain_servers: int = setting(6, unit="servers", ge=0, le=10_000)
    """Number of plain servers."""

    local_delay: float = setting(0.0005, unit="s", ge=0, le=1)
    """One-way delay within a data centre."""

    remote_delay: float = setting(0.012, unit="s", ge=0, le=1)
    """One-way delay between data centres."""

    directory_delay: float = setting(1.0, unit="s", ge=0, le=60)
    """Time until all instances know that a server has started or has ended."""

    instance_restart_time: float = setting(2.0, unit="s", ge=0, le=3_600)
    """Time from the end of an instance to the start of the next one in its place."""

    engine: EngineSpec = Field(default_factory=EngineSpec)
    """The engines."""

    plain_server: PlainServerSpec = Field(default_factory=PlainServerSpec)
    """The plain servers."""
