"""A call queued on a peer link."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

__all__ = ["PendingCall"]


@dataclass(slots=True)
class PendingCall:
    """A call queued on a peer link."""

    method: str
    """Name of the method of the peer service."""

    args: tuple[Any, ...]
    """Arguments in schema order."""

    deadline: float
    """Event loop time in seconds by which the reply must arrive."""

    future: asyncio.Future[Any]
    """Receives the result or a Failure; cancelled once the caller stops waiting."""
