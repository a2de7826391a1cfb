"""What became of an append."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["NO_ROOM", "AppendOutcome"]

NO_ROOM = -1
"""Stored offset that tells that the holder has no memory left for the append."""


@dataclass(frozen=True, slots=True)
class AppendOutcome:
    """What became of an append."""

    request_id: str
    """Id of the request."""

    stored: int
    """Token offset up to which the holder has the answer; `NO_ROOM` without memory for it."""

    epoch: int
    """Epoch that the holder knows; if higher than the sent one, nothing was stored."""

    header_missing: bool = False
    """Whether the sender must start again from offset 0 with the header."""
