"""The part of a request that a generation machine needs."""

from __future__ import annotations

from dataclasses import dataclass, field

from sapphireledge.core.answer.stored_prefix import StoredPrefix

__all__ = ["GenerationRequest"]


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """The part of a request that a generation machine needs."""

    request_id: str
    """Request id."""

    model: str
    """Name of the model."""

    version: str = ""
    """Model version of the answer; if empty, the first attempt determines it."""

    prefix: StoredPrefix = field(default_factory=StoredPrefix)
    """Part of the answer that was generated before, for a takeover or a resumed request."""

    epoch: int = 1
    """Epoch of the ownership; each takeover increments it."""

    software: str | None = None
    """Software version that generated the prefix; None if it is not known."""

    def attempt_id(self, attempt: int) -> str:
        """Builds the id that identifies an attempt to engines.

        Every owner numbers its attempts from 1, so the id includes the epoch.

        Args:
            attempt: Number of the attempt.

        Returns:
            The id, unique across all owners of the request.
        """
        return f"{self.request_id}.{self.epoch}.{attempt}"
