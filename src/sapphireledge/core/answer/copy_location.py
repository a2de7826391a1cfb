"""What a holder knows about an answer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CopyLocation"]


@dataclass(frozen=True, slots=True)
class CopyLocation:
    """What a holder knows about an answer."""

    owner_instance: str
    """Instance that owns the answer."""

    epoch: int
    """Epoch of its ownership."""

    stored: int
    """Token offset up to which the holder has the answer."""

    finished: bool
    """Whether the answer has ended."""
