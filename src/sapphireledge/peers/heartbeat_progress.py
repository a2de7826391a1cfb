"""Progress of heartbeats to one peer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

__all__ = ["HeartbeatProgress"]


@dataclass(slots=True)
class HeartbeatProgress:
    """Positions that one peer has acknowledged, and when its next heartbeat is due."""

    due: float
    """Time in seconds at which the next heartbeat is due."""

    incarnation: str = ""
    """Incarnation of the peer that acknowledged the positions."""

    acked_usage: dict[str, int] = field(default_factory=dict)
    """Acknowledged position in the usage change log of each scope."""

    acked_notices: int = 0
    """Acknowledged position in the notice log."""

    in_flight: asyncio.Future[Any] | None = None
    """Reply to the last heartbeat; the next one waits for it, so none queue up for a slow peer."""
