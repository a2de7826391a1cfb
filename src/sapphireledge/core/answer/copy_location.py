"""Owner and extent of an answer according to the holder of a copy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CopyLocation"]


@dataclass(frozen=True, slots=True)
class CopyLocation:
    """Owner and extent of an answer according to the holder of a copy."""

    owner_instance: str
    """Instance that owns the answer."""

    epoch: int
    """Epoch of the ownership."""

    stored: int
    """Token offset up to which the holder has stored the answer."""

    finished: bool
    """Whether the answer has ended."""
