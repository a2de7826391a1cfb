"""First event of an accepted generation."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Started"]


@dataclass(frozen=True, slots=True)
class Started:
    """The engine accepted the attempt; no token has come yet."""

    attempt: int
    """Number of the attempt."""
