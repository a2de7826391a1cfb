"""Size of a service as one instance knows it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServiceSize"]


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """How many servers a service has, and how many instances send requests to them."""

    service: str = ""
    """Name of the service."""

    servers: int = 1
    """Number of its backend servers that run, at least 1."""

    instances: int = 1
    """Number of instances, at least 1."""
