"""Usage that a heartbeat carries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["UsageChanges"]


@dataclass(frozen=True, slots=True)
class UsageChanges:
    """Usage that changed since a heartbeat that the receiver confirmed."""

    usage: Mapping[str, float]
    """Decayed tokens of this instance for each workspace."""

    sequence: int
    """Sequence to pass to the next call once the receiver confirmed this one."""
