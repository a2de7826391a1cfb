"""Requests that crash backend servers."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["QuarantineSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class QuarantineSettings:
    """Requests that crash backend servers."""

    isolate_after: int = setting(2, unit="deaths", ge=1, le=10)
    """Deaths after which the request runs isolated."""

    condemn_after: int = setting(3, unit="deaths", ge=2, le=10)
    """Deaths after which the request is refused."""

    burst_window: float = setting(2.0, unit="s", ge=0.1, le=60)
    """Window in which unrelated deaths count as one common cause."""

    burst_size: int = setting(3, unit="deaths", ge=2, le=100)
    """Unrelated deaths in the window that make a common cause."""

    retention: float = setting(86_400.0, unit="s", ge=60, le=604_800)
    """How long deaths and refusals are remembered."""
