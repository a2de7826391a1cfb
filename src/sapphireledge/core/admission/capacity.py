"""Capacity of backend servers as an instance sees it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Capacity"]


@dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of a pool of backend servers as one instance sees it."""

    free: int
    """Number of sequences that can start now."""

    total: int
    """Number of sequences that can run concurrently."""

    token_rate: float = 0.0
    """Combined tokens per second of the busy slots; 0 if not measured yet."""

    running: Mapping[str, int] = field(default_factory=dict)
    """Running sequences by rank over all instances, as far as known.

    With it, work of other instances also counts towards the used part of a rank's reserve.
    """
