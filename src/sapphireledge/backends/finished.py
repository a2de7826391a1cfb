"""End of a complete generation."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Finished"]


@dataclass(frozen=True, slots=True)
class Finished:
    """The engine finished the answer."""

    total: int
    """Tokens of the whole answer, resumed text included."""

    reason: str
    """Finish reason as the engine named it, such as "stop" or "length"."""
