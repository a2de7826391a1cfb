"""Part of an answer, read from its copy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CopyPart"]


@dataclass(frozen=True, slots=True)
class CopyPart:
    """Part of an answer, read from its copy."""

    offset: int
    """Token offset of the first piece."""

    pieces: tuple[str, ...]
    """Text of each token."""

    finish: str
    """Encoded `AnswerEnd` if the answer has ended, otherwise empty."""

    epoch: int
    """Epoch of the ownership."""
