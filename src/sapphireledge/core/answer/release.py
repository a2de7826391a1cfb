"""Decision to send a part of the answer to the caller."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Release"]


@dataclass(frozen=True, slots=True)
class Release:
    """Decision to send a part of the answer to the caller."""

    offset: int
    """Token offset of the first piece."""

    pieces: tuple[str, ...]
    """Text of each token."""

    protected: bool
    """Whether the partner has stored the part."""

    finish: str
    """Encoded `AnswerEnd` if the answer ends with this part, otherwise empty."""
