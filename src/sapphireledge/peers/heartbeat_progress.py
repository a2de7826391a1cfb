"""What one peer has acknowledged."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

__all__ = ["HeartbeatProgress"]


@dataclass(slots=True)
class HeartbeatProgress:
    """What one peer has acknowledged, and when its next heartbeat is due."""

    due: float
    """Time of the next heartbeat."""

    incarnation: str = ""
    """Incarnation of the peer that acknowledged."""

    acked_usage: dict[str, int] = field(default_factory=dict)
    """Acknowledged position of the change log of each scope."""

    acked_notices: int = 0
    """Acknowledged position in the list of deaths."""

    in_flight: asyncio.Future[Any] | None = None
    """Last heartbeat sent; the next one waits for it, so none pile up behind a slow peer."""
