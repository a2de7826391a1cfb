"""Decision that the answer is complete."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Complete"]


@dataclass(frozen=True, slots=True)
class Complete:
    """Decision that the answer is complete."""

    total: int
    """Number of tokens in the answer."""

    reason: str
    """Finish reason given by the engine."""
