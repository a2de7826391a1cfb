"""The stay of one stream in the waiting line of its service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sapphireledge.core.placement import WaitForEngine

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from sapphireledge.core.placement import RefuseStream
    from sapphireledge.core.waiting import WaitingWork
    from sapphireledge.gateway.engine_look import EngineLook
    from sapphireledge.gateway.engine_selection import EngineSelection

__all__ = ["LineVisit"]


@dataclass(eq=False)
class LineVisit:
    """The stay of one stream in the waiting line of its service."""

    describe: Callable[[], WaitingWork]
    """Describes the stream as it waits now."""

    offer: Callable[[EngineLook, bool, int], EngineSelection | RefuseStream | WaitForEngine | None]
    """Offers the engines of a look to the stream; the second argument is whether it is its turn,
    the third the number of earlier offers. Returns None if there is no engine at all."""

    future: asyncio.Future[EngineSelection | RefuseStream | None]
    """Receives the selection, a refusal, or None without an engine."""

    joined_at: float
    """Event loop time in seconds at which the stream joined the line."""

    origin: str | None = None
    """Version that began the stream, None if there is none."""

    offers: int = field(default=0, init=False)
    """Number of looks that were offered to the stream."""
