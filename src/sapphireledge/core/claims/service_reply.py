"""How one dispatch to a plain service ended."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.core.claims.service_outcome import ServiceOutcome
from sapphireledge.errors import Failure

__all__ = ["Broken", "NotSent", "ServiceReply"]


@dataclass(frozen=True, slots=True)
class NotSent:
    """The connection failed before a byte of the request was sent."""

    backend: str
    """Name of the backend server."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The request was sent, at least in part, and no complete answer came."""

    backend: str
    """Name of the backend server."""

    reason: str
    """What happened."""


ServiceReply = ServiceOutcome | NotSent | Broken | Failure
"""End of a dispatch; a `Failure` says that no backend server could be chosen, nothing was sent."""
