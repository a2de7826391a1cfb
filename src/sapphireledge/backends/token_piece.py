"""One token of a generation."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FOREIGN_ATTEMPT", "TokenPiece"]

FOREIGN_ATTEMPT = -1
"""Attempt number of a chunk that belongs to another request."""


@dataclass(frozen=True, slots=True)
class TokenPiece:
    """One token as the engine sent it; it can be late, repeated or of another attempt."""

    attempt: int
    """Number of the attempt named in the chunk, FOREIGN_ATTEMPT for another request."""

    offset: int
    """Offset of the token in the answer."""

    text: str
    """Text of the token."""
