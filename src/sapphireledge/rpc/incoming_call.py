"""A decoded call on a server connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

__all__ = ["IncomingCall"]


@dataclass(frozen=True, slots=True)
class IncomingCall:
    """A decoded call; its fields are those that thriftpy2's processors return."""

    method: str
    """Name of the method."""

    sequence: int
    """Sequence number, repeated in the reply."""

    result: Any
    """Struct that receives the result, or the exception if the service has no such method."""

    run: Callable[[], Awaitable[Any]] | None
    """Calls the handler; None if the service has no such method."""
