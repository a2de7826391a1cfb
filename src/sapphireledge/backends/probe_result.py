"""Result of probing an engine for one attempt."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ProbeResult"]


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of probing an engine for one attempt."""

    alive: bool
    """Whether the engine responded in time on a new connection."""

    attempt_active: bool = False
    """Whether the engine has the attempt queued or running."""

    next_offset: int = 0
    """Offset of the next token that the engine will generate, 0 if the attempt is unknown."""

    boot_id: str = ""
    """Id of the engine process, empty if it did not respond."""
