"""Chosen backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RouteChoice"]


@dataclass(frozen=True, slots=True)
class RouteChoice:
    """Chosen backend server."""

    backend: str
    """Name of the backend server."""

    address: str
    """Address in the form IP:port."""

    boot_id: str
    """Boot id of its engine as far as known."""

    score: float
    """Cost of the choice in prompt tokens."""

    cached_tokens: float = 0.0
    """Prompt tokens expected in its cache."""
