"""Settings of a graceful shutdown."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["LifecycleSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class LifecycleSettings:
    """Settings of a graceful shutdown."""

    balancer_delay: float = setting(2.0, unit="s", ge=0, le=60)
    """Time between reporting not ready and refusing new work, for load balancers to react."""

    drain_limit: float = setting(600.0, unit="s", ge=1, le=86_400)
    """Maximum time to wait for streams in flight."""
