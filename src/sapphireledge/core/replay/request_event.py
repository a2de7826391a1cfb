"""Recorded event of a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

__all__ = ["RequestEvent"]

_ENCODER = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class RequestEvent:
    """Recorded event of a request: an input, its time and the resulting decisions."""

    sequence: int
    """Sequence number of the event in its recording, from 1 without gaps."""

    time: float
    """Monotonic time at the instance in seconds."""

    instance: str
    """Name of the recording instance with its incarnation."""

    recording: int
    """Number of the recording at the instance, starting at 1; 0 for events of the log itself."""

    request_id: str
    """Request id; empty for events of the log itself."""

    name: str
    """Name from `EventName`, or the name of a note."""

    input: dict[str, Any] = field(default_factory=dict)
    """Arguments of the call as JSON-compatible data."""

    decisions: list[dict[str, Any]] = field(default_factory=list)
    """Decisions in order as JSON-compatible data."""

    def to_line(self) -> bytes:
        """Encodes the event.

        Returns:
            One JSON object followed by a line feed.
        """
        return _ENCODER.encode(self) + b"\n"
