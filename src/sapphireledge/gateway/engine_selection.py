"""Where a stream runs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["EngineSelection"]


@dataclass(frozen=True, slots=True)
class EngineSelection:
    """Engines of one attempt."""

    server: BackendServer
    """Engine that runs the stream."""

    standby: BackendServer | None
    """Engine that receives a running copy, or None."""

    copy_source: BackendServer | None
    """Engine that holds a copy to continue from, or None."""
