"""A service of the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServiceProfile"]


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """What all backend servers of a service have in common."""

    name: str
    """Name of the service."""

    max_connections: int = 0
    """Connections that one backend server accepts from all callers, 0 when unknown."""

    standby_copies: bool = False
    """Whether an engine can copy a running generation to another one."""
