"""One request to a plain service."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["ServiceCall"]


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One request to a plain service, whichever backend server takes it."""

    service: str
    """Name of the service."""

    method: str
    """HTTP method."""

    path: str
    """Path with its query."""

    body: bytes
    """Body."""

    timeout: float
    """Seconds for the answer."""

    headers: Mapping[str, str] = field(default_factory=dict)
    """Header fields to send."""
