"""Part of an answer that its owner sends to the holder of the copy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CopyAppend"]


@dataclass(frozen=True, slots=True)
class CopyAppend:
    """Part of an answer that its owner sends to the holder of the copy."""

    request_id: str
    """Request id."""

    epoch: int
    """Epoch of the sender's ownership."""

    offset: int
    """Token offset of the first piece."""

    pieces: tuple[str, ...]
    """Text of each token."""

    header: str = ""
    """Request as JSON; empty if the holder already has it."""

    finish: str = ""
    """Encoded `AnswerEnd`; empty if the answer does not end with this part."""

    events: str = ""
    """Recorded events as JSON lines."""

    software: str | None = None
    """Software version that began the answer, with its first token; None if it is not known."""
