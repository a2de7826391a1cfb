"""A stream that waits for an engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PendingStream"]


@dataclass(frozen=True, slots=True)
class PendingStream:
    """A stream that waits for an engine; times are in seconds on one clock."""

    prompt_tokens: int
    """Length of the prompt in tokens, 0 if unknown."""

    output_tokens: int
    """Largest number of tokens that the generation produces, 0 if unknown."""

    rank_distance: int
    """Difference from the most urgent rank of the service, 0 for that rank."""

    due_at: float
    """Time by which the next event must arrive for the stream to be on time."""

    leaves_at: float
    """Time at which the caller gives up unless the next event has arrived."""

    deadline: float
    """Time at which the caller stops waiting for the end of the stream."""

    has_run: bool
    """Whether an engine may have run the request, so that it cannot be refused as not run."""

    delivered: int = 0
    """Number of events that the caller has received of a run that was lost."""

    typical_tokens: float = 0.0
    """Length of a typical prompt of the service in tokens, the unit of costs; 0 if unknown."""
