"""Declaration of a request rank."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["Rank"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Rank:
    """A class of requests, with its urgency, latency target and capacity shares."""

    name: str = setting(..., min_length=1)
    """Name used in the X-Rank header."""

    order: int = setting(..., ge=0, le=99)
    """Priority order; 0 is the most urgent."""

    target: float = setting(..., ge=0.01, le=86400, unit="s")
    """Target for the time to first token."""

    worth: float = setting(1.0, ge=0, le=1000000.0)
    """Value of serving a request within its target, relative to other ranks."""

    share: float = setting(0.0, ge=0, le=1)
    """Minimum share of the tokens that the rank gets while it has requests queued."""

    reserve: float = setting(0.0, ge=0, le=0.9)
    """Share of the backend capacity that is kept free for the rank while it is idle."""

    late: bool = False
    """Whether requests that miss their target are still served."""
