"""An attempt at a backend server, as roll-outs count it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["RolloutAttempt"]


@dataclass(eq=False, slots=True)
class RolloutAttempt:
    """An attempt at a backend server that has not ended."""

    route: str
    """Name of the route."""

    server: BackendServer
    """The server."""

    begun_at: float
    """Event loop time in seconds at which it began."""

    move: Callable[[], bool] | None = None
    """Ends the attempt so that its stream begins at a server of another version, if no event of it
    was delivered and one can take it now; returns whether it does. None if it cannot move."""

    is_retry: bool = False
    """Whether the request was counted before."""
