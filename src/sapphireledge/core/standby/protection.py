"""What protects a running generation from the loss of its engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Protection"]


@dataclass(frozen=True, slots=True)
class Protection:
    """What protects a running generation from the loss of its engine; times are in seconds."""

    is_held: bool
    """Whether the engine that holds the copy, or receives it continuously, is believed to run."""

    ends_at: float
    """Time at which the generation is expected to end, infinite if it is not known."""

    is_crowded: bool = False
    """Whether streams wait for an engine, whose memory a further copy would take."""

    copied_at: float | None = None
    """Time of the last transfer on request, None if the engine sends its memory continuously."""

    failures: int = 0
    """Transfers on request that failed in a row."""

    tried_at: float = float("-inf")
    """Time of the last transfer on request, whether it succeeded or failed."""
