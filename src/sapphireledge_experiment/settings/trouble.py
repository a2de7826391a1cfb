"""One trouble during an experiment."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting
from sapphireledge_experiment.settings.trouble_kind import TroubleKind

__all__ = ["Trouble"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Trouble:
    """One trouble during an experiment."""

    kind: TroubleKind = setting(...)
    """What happens."""

    at: float = setting(..., unit="s", ge=0, le=36_000)
    """Time at which it happens."""

    duration: float = setting(5.0, unit="s", ge=0, le=36_000)
    """How long it lasts, where the kind lasts."""

    restart_time: float | None = setting(None, unit="s", ge=0, le=3_600)
    """Time until machines start in the place of those that end; by default that of the fleet."""

    share: float = setting(1.0, ge=0, le=1)
    """Share of the machines that it hits, drawn at random."""

    data_centre: int | None = setting(None, ge=0, le=99)
    """Data centre whose machines it hits; without one, those of all data centres."""

    factor: float = setting(3.0, ge=0.001, le=1_000_000)
    """Factor of the time of a step, or requests per second."""

    pause: float = setting(1.0, unit="s", ge=0, le=60)
    """Pause that rejecting engines ask for."""
