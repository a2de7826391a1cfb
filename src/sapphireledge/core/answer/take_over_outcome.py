"""Result of a takeover request to the holder of a copy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TakeOverOutcome"]


@dataclass(frozen=True, slots=True)
class TakeOverOutcome:
    """Result of a takeover request to the holder of a copy."""

    granted: bool
    """Whether the requester now owns the answer."""

    epoch: int
    """Epoch after the call; 0 if the holder has no record of the answer."""

    owner_instance: str
    """Owner after the call; empty if there is no copy."""

    header: str = ""
    """Request as JSON; empty unless granted."""

    pieces: tuple[str, ...] = ()
    """Text of each token; empty unless granted."""

    finish: str = ""
    """Encoded `AnswerEnd`; empty if the answer has not ended or the takeover was not granted."""

    events: str = ""
    """Recorded events as JSON lines; empty unless granted."""

    software: str | None = None
    """Software version that began the answer; None if it is not known or has no tokens."""
