"""A service of the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServiceProfile"]


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Properties that all backend servers of a service share."""

    name: str
    """Name of the service."""

    max_connections: int = 0
    """Connections that one backend server accepts in total, 0 if unknown."""

    first_rank: int = 0
    """Most urgent rank among the routes to the service."""

    can_replicate: bool = False
    """Whether engines can replicate a running generation to a standby engine."""

    copy_lifetime: float = 0.0
    """Seconds for which an engine keeps a copy of a generation that was made on request and is not
    refreshed, 0 if engines make none."""
