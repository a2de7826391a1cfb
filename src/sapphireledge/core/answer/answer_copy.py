"""Copy of one answer at its holder."""

from __future__ import annotations

from dataclasses import dataclass, field

from sapphireledge.core.answer.piece_store import PieceStore

__all__ = ["AnswerCopy"]


@dataclass(slots=True)
class AnswerCopy:
    """Copy of one answer at its holder; mutable state of the ownership table."""

    owner: str
    """Instance that owns the answer."""

    epoch: int
    """Epoch of the ownership."""

    header: str
    """JSON of the request."""

    last_activity: float
    """Time of the last append or takeover in seconds."""

    pieces: PieceStore = field(default_factory=PieceStore)
    """The texts."""

    finish: str = ""
    """Form of `AnswerEnd`; empty while the answer goes on."""

    ended_at: float | None = None
    """Time of the end in seconds."""

    events: list[str] = field(default_factory=list)
    """Recorded events as JSON lines."""

    size: int = 0
    """Bytes in use."""
