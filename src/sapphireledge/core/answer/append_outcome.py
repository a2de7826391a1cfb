"""Result of an append to a copy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["NO_ROOM", "AppendOutcome"]

NO_ROOM = -1
"""Value of `AppendOutcome.stored` if the holder lacks the memory for the append."""


@dataclass(frozen=True, slots=True)
class AppendOutcome:
    """Result of an append to a copy."""

    request_id: str
    """Request id."""

    stored: int
    """Token offset up to which the holder has stored the answer, or `NO_ROOM`."""

    epoch: int
    """Current epoch at the holder; if it exceeds that of the append, nothing was stored."""

    header_missing: bool = False
    """Whether the sender must resend the answer from offset 0 with the header."""
