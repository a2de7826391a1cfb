"""Settings of the quarantine for requests that crash backend servers."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["QuarantineSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class QuarantineSettings:
    """Settings of the quarantine for requests that crash backend servers."""

    isolate_after: int = setting(2, unit="deaths", ge=1, le=10)
    """Backend deaths after which the request is run in isolation."""

    condemn_after: int = setting(3, unit="deaths", ge=2, le=10)
    """Backend deaths after which the request is refused."""

    condemn_scope_after: int = setting(5, unit="deaths", ge=3, le=100)
    """Backend deaths after which all requests of a workspace for a service may be refused."""

    scope_retention: float = setting(120.0, unit="s", ge=10, le=604_800)
    """How long a death counts against a workspace at a service."""

    burst_window: float = setting(2.0, unit="s", ge=0.1, le=60)
    """Time window within which unrelated deaths are attributed to one common cause."""

    burst_size: int = setting(3, unit="deaths", ge=2, le=100)
    """Unrelated deaths within `burst_window` that indicate a common cause."""

    part_retention: float = setting(900.0, unit="s", ge=60, le=604_800)
    """How long a death counts against a part of a prompt that requests share."""

    retention: float = setting(86_400.0, unit="s", ge=60, le=604_800)
    """How long deaths and refusals are kept."""
