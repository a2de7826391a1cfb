"""One policy that an experiment plays."""

from __future__ import annotations

from dataclasses import asdict

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from sapphireledge.core.liveness import SilenceLimits
from sapphireledge.core.placement import PlacementLimits
from sapphireledge.gateway.quarantine_settings import QuarantineSettings as GatewayQuarantine
from sapphireledge.settings import AdmissionSettings, QuarantineSettings
from sapphireledge.settings._field import setting

__all__ = ["Policy"]


def _copy_gateway_limits() -> QuarantineSettings:
    """Returns the limits that gateway instances use, in the type that checks bounds."""
    return QuarantineSettings(**asdict(GatewayQuarantine()))


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Policy:
    """One policy: the decisions in force with other limits, or with an idea that is not built."""

    name: str = setting(..., min_length=1)
    """Name in the report."""

    placement: PlacementLimits = Field(default_factory=PlacementLimits)
    """Limits of the placement."""

    silence: SilenceLimits = Field(default_factory=SilenceLimits)
    """Limits on silent streams."""

    quarantine: QuarantineSettings = Field(default_factory=_copy_gateway_limits)
    """Limits of the quarantine."""

    admission: AdmissionSettings = Field(default_factory=AdmissionSettings)
    """Limits of the rank scheduler, used with `rank_scheduler` only."""

    rank_scheduler: bool = setting(False)
    """Whether streams start in the order of the rank scheduler, as at the own interface, rather
    than by the placement rule of gateways."""

    hold: bool = setting(True)
    """Whether a late stream waits at its instance; otherwise each starts at once."""

    copies: bool = setting(True)
    """Whether the KV cache of streams is copied to a standby while engines have room."""

    finish_estimate: bool = setting(True)
    """Whether late streams are refused that would end after their deadline."""

    wait_in_order: bool = setting(False)
    """Idea: a waiting stream starts only if none with an earlier due time waits at its instance."""

    resumes_per_engine: int = setting(0, unit="resumes", ge=0, le=1_000)
    """Idea: resumes that an instance sends to one engine within a second, 0 for any number."""

    hand_over: bool = setting(False)
    """Idea: a stream whose engine leaves is held there until its copy on the standby is complete,
    and goes on at the standby before its engine ends."""

    spread_standby: bool = setting(False)
    """Idea: the standby is drawn at random rather than by the rank of the engines."""

    refuse_early: bool = setting(False)
    """Idea: a new stream is refused at once if the estimate shows that its caller will leave."""
