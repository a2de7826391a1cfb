"""What a generation machine must know about a request."""

from __future__ import annotations

from dataclasses import dataclass, field

from sapphireledge.core.answer.stored_prefix import StoredPrefix

__all__ = ["GenerationRequest"]


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """What a generation machine must know about a request."""

    request_id: str
    """Id of the request."""

    model: str
    """Name of the model."""

    version: str = ""
    """Model version of the answer; empty lets the first attempt fix it."""

    prefix: StoredPrefix = field(default_factory=StoredPrefix)
    """Part of the answer that exists already, for a takeover."""

    epoch: int = 1
    """Epoch of the ownership; each takeover has a higher one."""

    def attempt_id(self, attempt: int) -> str:
        """Names an attempt towards engines.

        Attempts are numbered from 1 by every owner, so the epoch is part of the name.

        Args:
            attempt: Number of the attempt.

        Returns:
            The name, unique over all owners of the request.
        """
        return f"{self.request_id}.{self.epoch}.{attempt}"
