"""Answer of an engine about one attempt."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ProbeResult"]


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Answer of an engine about one attempt."""

    alive: bool
    """Whether the engine answered in time on a new connection."""

    knows_attempt: bool = False
    """Whether the engine has the attempt queued or running."""

    next_offset: int = 0
    """Offset of the next token that the engine will make, 0 when the attempt is unknown."""

    boot_id: str = ""
    """Id of the engine process, empty when it did not answer."""
