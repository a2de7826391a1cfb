"""Where a stream runs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["EnginePlan"]


@dataclass(frozen=True, slots=True)
class EnginePlan:
    """Engines of one attempt."""

    server: BackendServer
    """Engine that runs the stream."""

    standby: BackendServer | None
    """Engine that receives a running copy, or None."""

    source: BackendServer | None
    """Engine that holds a copy to continue from, or None."""
