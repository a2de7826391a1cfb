"""Settings of the machine that the instance runs on."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["MachineSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class MachineSettings:
    """Memory and descriptors from which the limits on connections follow."""

    memory: int = setting(536_870_912, unit="bytes", ge=67_108_864, le=1_099_511_627_776)
    """Memory of the machine that the instance may use."""

    descriptors: int = setting(0, ge=0, le=1_048_576)
    """Descriptors that the instance may open; 0 takes the limit of its process."""
