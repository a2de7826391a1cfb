"""Decision to start a stream on an engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StartStream"]


@dataclass(frozen=True, slots=True)
class StartStream:
    """Decision to start a stream on an engine."""

    engine: str
    """Server id of the engine."""

    estimate: float
    """Expected time to the next event in seconds."""

    is_late: bool
    """Whether the stream is expected to be late; engines run it after the streams on time."""
