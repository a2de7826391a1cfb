"""Request to a backend server before it is encoded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_request import CallerRequest
    from sapphireledge.gateway.replica import Replica

__all__ = ["BackendRequest"]


@dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request to one backend server; a `Dialect` encodes it as headers."""

    request: CallerRequest
    """The caller's request."""

    server: BackendServer
    """Backend server that must run the request; any other server that has taken over its address
    must reject it."""

    time_left: float
    """Seconds until the caller stops waiting."""

    workspace: str = ""
    """Workspace of the caller, empty on anonymous routes."""

    rank: int | None = None
    """Priority of a generation, None for services that are not engines."""

    resume_after: int | None = None
    """Number of the last delivered event, None to start from the beginning."""

    standby: BackendServer | None = None
    """Standby engine to which the generation's KV cache is replicated continuously."""

    resume_from: Replica | None = None
    """Copy of the generation's KV cache from which it resumes."""
