"""A request to a plain service."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["ServiceCall"]


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a plain service, independent of the backend server that handles it."""

    service: str
    """Name of the service."""

    method: str
    """HTTP method."""

    path: str
    """Path including the query."""

    body: bytes
    """Request body."""

    timeout: float
    """Timeout in seconds of one attempt."""

    headers: Mapping[str, str] = field(default_factory=dict)
    """Header fields to send."""
