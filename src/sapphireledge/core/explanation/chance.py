"""Probability of a decision that draws lots."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Chance"]


@dataclass(frozen=True, slots=True)
class Chance:
    """Probability of a decision that draws lots."""

    name: str
    """What is drawn."""

    probability: float
    """Probability, 0 to 1."""
