"""Result of a dispatch to a plain service."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.core.claims.service_outcome import ServiceOutcome
from sapphireledge.errors import Failure

__all__ = ["NoResponse", "NotSent", "ServiceReply"]


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent, for example because the connection failed."""

    backend: str
    """Name of the backend server; empty if none was tried."""


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The request was sent at least in part, but no complete response was received."""

    backend: str
    """Name of the backend server."""

    reason: str
    """Cause of the failure."""


ServiceReply = ServiceOutcome | NotSent | NoResponse | Failure
"""Result of a dispatch; `Failure` if no backend server could be chosen and nothing was sent."""
