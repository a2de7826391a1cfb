"""Failure of a change that was based on an outdated version."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.errors.failure import Failure

__all__ = ["ConflictFailure"]


@dataclass(frozen=True, slots=True)
class ConflictFailure(Failure):
    """A failure of kind `CONFLICT` with both versions."""

    base_version: int = 0
    """Version on which the change was based."""

    current_version: int = 0
    """Current version, 0 if the object does not exist."""
