"""The platform's object API and instance list."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["PlatformSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class PlatformSettings:
    """The platform's object API and instance list."""

    url: str = setting(...)
    """Base URL of the object API, with an IP number."""

    timeout: float = setting(2.0, unit="s", ge=0.05, le=60)
    """Time limit of one call."""

    watch_wait: float = setting(20.0, unit="s", ge=0.1, le=300)
    """Longest wait of one watch call."""

    retry_base: float = setting(0.2, unit="s", ge=0.01, le=60)
    """First delay after a failed call."""

    retry_cap: float = setting(5.0, unit="s", ge=0.1, le=600)
    """Longest delay after a failed call."""

    instances_interval: float = setting(2.0, unit="s", ge=0.1, le=60)
    """Interval between two readings of the instance list."""
