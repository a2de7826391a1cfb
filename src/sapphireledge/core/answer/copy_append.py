"""Part of an answer that its owner sends to the holder of the copy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CopyAppend"]


@dataclass(frozen=True, slots=True)
class CopyAppend:
    """Part of an answer that its owner sends to the holder of the copy."""

    request_id: str
    """Id of the request."""

    epoch: int
    """Epoch of the sender's ownership."""

    offset: int
    """Token offset of the first piece."""

    pieces: tuple[str, ...]
    """One text for each token."""

    header: str = ""
    """JSON of the request; empty if the holder has it."""

    finish: str = ""
    """Form of `AnswerEnd`; empty while the answer goes on."""

    events: str = ""
    """Recorded events as JSON lines."""
