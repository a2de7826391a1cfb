"""One request to one backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_request import CallerRequest

__all__ = ["Dispatch"]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What is sent to a backend server, before it is translated to headers."""

    request: CallerRequest
    """The caller's request."""

    server: BackendServer
    """Backend server that must run it, and no other one at its address."""

    time_left: float
    """Seconds until the caller's deadline."""

    workspace: str = ""
    """Workspace of the caller, empty on anonymous routes."""

    rank: int | None = None
    """Urgency of a generation, None for plain services."""

    resume_after: int | None = None
    """Number of the last delivered event, None for a start from the beginning."""

    standby: BackendServer | None = None
    """Engine that receives a running copy of the generation's memory."""

    resume_from: BackendServer | None = None
    """Engine that holds such a copy, to continue from it."""
