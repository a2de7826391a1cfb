"""Result of a routing decision."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RouteChoice"]


@dataclass(frozen=True, slots=True)
class RouteChoice:
    """Backend server chosen for a request."""

    backend: str
    """Name of the backend server."""

    address: str
    """Address in the form IP:port."""

    boot_id: str
    """Boot id of its engine; empty if unknown."""

    score: float
    """Cost of the choice, in prompt tokens; lower is better."""

    cached_tokens: float = 0.0
    """Number of prompt tokens that are expected in its cache."""
