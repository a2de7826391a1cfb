"""A request rank and its targets."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["Rank"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Rank:
    """A request rank and its targets."""

    name: str = setting(..., min_length=1)
    """Name used in the X-Rank header."""

    order: int = setting(..., ge=0, le=99)
    """Urgency; 0 is the most urgent."""

    target: float = setting(..., ge=0.01, le=86400, unit="s")
    """Time to the first token that the rank promises."""

    worth: float = setting(1.0, ge=0, le=1000000.0)
    """Worth of a request served in time, relative to other ranks."""

    share: float = setting(0.0, ge=0, le=1)
    """Share of the tokens that the rank keeps while it has work waiting."""

    reserve: float = setting(0.0, ge=0, le=0.9)
    """Share of backend capacity kept free for the rank while it is idle."""

    late: bool = False
    """Whether work that misses its target is still wanted."""
