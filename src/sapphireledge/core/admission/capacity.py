"""Capacity of backend servers as an instance sees it."""

from __future__ import annotations

from dataclasses import dataclass

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
