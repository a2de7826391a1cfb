"""One call that waits for its turn on a link."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

__all__ = ["PendingCall"]


@dataclass(slots=True)
class PendingCall:
    """One call that waits for its turn on a link."""

    method: str
    """Method of the peer service."""

    args: tuple[Any, ...]
    """Arguments in the order of the schema."""

    deadline: float
    """Time of the event loop at which the reply must have arrived."""

    future: asyncio.Future[Any]
    """Receives the result or a Failure; cancelled if nobody waits any more."""
