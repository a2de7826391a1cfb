"""First event of an accepted attempt."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Started"]


@dataclass(frozen=True, slots=True)
class Started:
    """First event of a stream: the engine accepted the attempt."""

    attempt: int
    """Number of the attempt."""
