"""Last event of a complete generation."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["AttemptFinished"]


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """Last event of a stream: the engine completed the answer."""

    total: int
    """Tokens of the entire answer, including the prefix that was resumed."""

    reason: str
    """Finish reason sent by the engine, such as "stop" or "length"."""
