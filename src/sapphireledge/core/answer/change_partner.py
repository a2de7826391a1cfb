"""Decision to replicate to another partner."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ChangePartner"]


@dataclass(frozen=True, slots=True)
class ChangePartner:
    """Decision to replicate to another partner."""

    reason: str
    """Why the current partner is unusable."""
