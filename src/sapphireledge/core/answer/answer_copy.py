"""Copy of an answer in the memory of its holder."""

from __future__ import annotations

from dataclasses import dataclass, field

from sapphireledge.core.answer.piece_store import PieceStore

__all__ = ["AnswerCopy"]


@dataclass(slots=True)
class AnswerCopy:
    """Copy of an answer in the memory of its holder; mutable state of `OwnershipTable`."""

    owner: str
    """Instance that owns the answer."""

    epoch: int
    """Epoch of the ownership; each takeover increments it."""

    header: str
    """Request as JSON."""

    last_activity: float
    """Monotonic time of the last append or takeover in seconds."""

    software: str | None = None
    """Software version that began the answer; None without tokens or if it is not known."""

    pieces: PieceStore = field(default_factory=PieceStore)
    """Texts of the tokens."""

    finish: str = ""
    """Encoded `AnswerEnd`; empty until the answer has ended."""

    ended_at: float | None = None
    """Monotonic time at which the answer ended, in seconds; None until then."""

    events: list[str] = field(default_factory=list)
    """Recorded events as JSON lines."""

    size: int = 0
    """Memory used by the copy in bytes."""
