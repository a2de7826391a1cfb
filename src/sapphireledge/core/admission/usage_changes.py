"""Usage changes sent in a heartbeat."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["UsageChanges"]


@dataclass(frozen=True, slots=True)
class UsageChanges:
    """Local usage that changed since a heartbeat that the receiver acknowledged."""

    usage: Mapping[str, float]
    """Decayed tokens charged by this instance, by workspace."""

    sequence: int
    """Sequence number to pass to the next call once the receiver has acknowledged this one."""
