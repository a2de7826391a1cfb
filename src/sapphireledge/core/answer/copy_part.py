"""Part of an answer that is read from its copy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CopyPart"]


@dataclass(frozen=True, slots=True)
class CopyPart:
    """Part of an answer that is read from its copy."""

    offset: int
    """Token offset of the first piece."""

    pieces: tuple[str, ...]
    """One text for each token."""

    finish: str
    """Form of `AnswerEnd` if the part reaches the end, otherwise empty."""

    epoch: int
    """Epoch of the owner."""
