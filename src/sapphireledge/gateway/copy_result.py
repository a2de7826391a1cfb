"""Result of a transfer of a copy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CopyResult"]


@dataclass(frozen=True, slots=True)
class CopyResult:
    """Result of a transfer of a copy."""

    handle: str = ""
    """Id of the copy, empty if there is none."""

    reason: str = ""
    """Reason of a failure, empty without one."""

    is_refused: bool = False
    """Whether the engine that was to receive the copy has no room or cannot be reached."""
