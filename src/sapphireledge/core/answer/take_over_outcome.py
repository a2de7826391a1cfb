"""Whether an answer was taken over, and its copy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TakeOverOutcome"]


@dataclass(frozen=True, slots=True)
class TakeOverOutcome:
    """Whether an answer was taken over, and its copy."""

    granted: bool
    """Whether the requester owns the answer now."""

    epoch: int
    """Epoch after the call; 0 if the holder does not know the answer."""

    owner_instance: str
    """Owner after the call."""

    header: str = ""
    """JSON of the request."""

    pieces: tuple[str, ...] = ()
    """One text for each token."""

    finish: str = ""
    """Form of `AnswerEnd`; empty if the answer has not ended."""

    events: str = ""
    """Recorded events as JSON lines."""
