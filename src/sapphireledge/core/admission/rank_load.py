"""Running and waiting work of one rank."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RankLoad"]


@dataclass(frozen=True, slots=True)
class RankLoad:
    """Running and waiting work of one rank."""

    rank: str
    """Name of the rank."""

    running: int
    """Number of work items that were dispatched and have not ended."""

    queued: int
    """Number of waiting work items, including resumes."""
