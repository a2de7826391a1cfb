"""Text sent back by a caller and verified by its digest."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.core.answer.stored_prefix import StoredPrefix

__all__ = ["VerifiedPrefix"]


@dataclass(frozen=True, slots=True)
class VerifiedPrefix:
    """Text sent back by a caller and verified by its digest."""

    prefix: StoredPrefix
    """Text and token count."""

    version: str
    """Model version that generated the text."""

    software: str | None = None
    """Software version that generated the text; None if its event id names none."""
