"""One call that a server has read."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

__all__ = ["IncomingCall"]


@dataclass(frozen=True, slots=True)
class IncomingCall:
    """One call that a server has read; the fields are those of thriftpy2's processors."""

    method: str
    """Name of the method."""

    sequence: int
    """Sequence number, returned with the reply."""

    result: Any
    """Struct for the result, or the exception for a method that the service does not have."""

    run: Callable[[], Awaitable[Any]] | None
    """Calls the handler, None if the service does not have the method."""
