"""Text of a caller whose digest was found correct."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.core.answer.stored_prefix import StoredPrefix

__all__ = ["VerifiedPrefix"]


@dataclass(frozen=True, slots=True)
class VerifiedPrefix:
    """Text of a caller whose digest was found correct."""

    prefix: StoredPrefix
    """The text and its number of tokens."""

    version: str
    """Model version that generated it."""
