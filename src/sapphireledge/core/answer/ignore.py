"""Decision that an input has no effect."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Ignore"]


@dataclass(frozen=True, slots=True)
class Ignore:
    """Decision that an input has no effect."""

    reason: str
    """Why the input has no effect."""
