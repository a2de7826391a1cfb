"""Decision to refuse a stream that cannot be served."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.core.placement.refusal_reason import RefusalReason

__all__ = ["RefuseStream"]


@dataclass(frozen=True, slots=True)
class RefuseStream:
    """Decision to refuse a stream that cannot be served before its deadline."""

    estimate: float
    """Expected time to the next event in seconds."""

    retry_after: float
    """Seconds after which the caller may return."""

    reason: RefusalReason = RefusalReason.LOAD
    """Why the stream is refused."""
