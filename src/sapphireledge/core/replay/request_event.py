"""One recorded event of a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

__all__ = ["RequestEvent"]

_ENCODER = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class RequestEvent:
    """One recorded event of a request: an input with its time and what was decided."""

    sequence: int
    """Number of the event in its recording, from 1 without gaps."""

    time: float
    """Monotonic time of the instance in seconds."""

    instance: str
    """Instance that recorded the event, with its incarnation."""

    recording: int
    """Number of the recording at the instance, from 1; 0 for events of the log itself."""

    request_id: str
    """Id of the request; empty for events of the log."""

    name: str
    """Name from `EventName`, or the name of a note."""

    input: dict[str, Any] = field(default_factory=dict)
    """Arguments of the call, as data that JSON can hold."""

    decisions: list[dict[str, Any]] = field(default_factory=list)
    """Decisions in their order, as data that JSON can hold."""

    def to_line(self) -> bytes:
        """Encodes the event.

        Returns:
            One JSON object with a line feed.
        """
        return _ENCODER.encode(self) + b"\n"
