"""Capacity of backend servers as an instance sees it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Capacity"]


@dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of the backend servers of one pool in the view of one instance."""

    free: int
    """Sequences that can start now."""

    total: int
    """Sequences that can run at the same time."""

    token_rate: float = 0.0
    """Tokens per second that the busy slots produce together; 0 if not measured yet."""

    running: Mapping[str, int] = field(default_factory=dict)
    """Running sequences by rank over all instances, as far as known.

    It lets the reserve of a rank count as used by the work of other instances too.
    """
