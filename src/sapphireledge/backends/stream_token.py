"""One token of a generation stream."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FOREIGN_ATTEMPT", "StreamToken"]

FOREIGN_ATTEMPT = -1
"""Attempt number of a chunk that belongs to another request or another owner of the request."""


@dataclass(frozen=True, slots=True)
class StreamToken:
    """One token as sent by the engine; it can be late, repeated or from another attempt."""

    attempt: int
    """Number of the attempt that the chunk names, or FOREIGN_ATTEMPT."""

    offset: int
    """Offset of the token in the answer."""

    text: str
    """Text of the token."""
