"""Terms of the cost of a backend server for a request."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ScoreTerms"]


@dataclass(frozen=True, slots=True)
class ScoreTerms:
    """Terms of the cost of a backend server for a request, in prompt tokens."""

    load: float
    """Load of the server, and the batches queued ahead of the request."""

    own_work: float
    """Prompt tokens that it has to process, after those that are expected in its cache."""

    distance: float
    """Distance of the server from this instance."""

    @property
    def total(self) -> float:
        """The cost; lower is better."""
        return self.load + self.own_work + self.distance
