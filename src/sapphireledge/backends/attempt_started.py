"""First event of an accepted attempt."""

from __future__ import annotations

from dataclasses import dataclass, field

from sapphireledge.core.backpressure import ServerSignals

__all__ = ["AttemptStarted"]


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """First event of a stream: the engine accepted the attempt."""

    attempt: int
    """Number of the attempt."""

    signals: ServerSignals = field(default_factory=ServerSignals)
    """What the engine asks of its callers."""

    software: str = ""
    """Version of the engine's software; empty if it names none."""
