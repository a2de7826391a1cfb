"""One event of a stream."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StreamEvent"]


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """A whole event with its boundary."""

    raw: bytes
    """Bytes as they came."""

    number: int | None
    """Number of the event, None when it has none."""
