"""Failure of a change that was based on another version."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.errors.failure import Failure

__all__ = ["ConflictFailure"]


@dataclass(frozen=True, slots=True)
class ConflictFailure(Failure):
    """A failure of kind conflict that names both versions."""

    base_version: int = 0
    """Version that the change was based on."""

    current_version: int = 0
    """Version in force, 0 if the object does not exist."""
