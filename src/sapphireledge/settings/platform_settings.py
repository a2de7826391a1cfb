"""Settings of the connection to the platform's object API and instance list."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["PlatformSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class PlatformSettings:
    """Settings of the connection to the platform's object API and instance list."""

    url: str = setting(...)
    """Base URL of the platform, with an IP address as host."""

    timeout: float = setting(2.0, unit="s", ge=0.05, le=60)
    """Timeout of a call."""

    watch_wait: float = setting(20.0, unit="s", ge=0.1, le=300)
    """Maximum time that a watch call waits for writes."""

    retry_base: float = setting(0.2, unit="s", ge=0.01, le=60)
    """Initial backoff after a failed call."""

    retry_cap: float = setting(5.0, unit="s", ge=0.1, le=600)
    """Maximum backoff after failed calls."""

    instances_interval: float = setting(2.0, unit="s", ge=0.1, le=60)
    """Interval at which the instance list is polled."""
