"""What an instance has heard of the others, for operators."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LoadSummary"]


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """What an instance has heard of the others of its data centre, for operators."""

    instances: int
    """Number of other instances whose figures are in use."""

    age: float
    """Mean age of the figures in seconds, infinite without any."""

    is_relay: bool
    """Whether the figures come from followers rather than from a relay."""

    workspaces: int
    """Number of workspaces with streams."""

    rejections: float
    """Recent rejections by full servers, as a decayed sum."""
