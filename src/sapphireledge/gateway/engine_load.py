"""Load of an engine, decoded from its report."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["EngineLoad"]


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """A load report; it is a few hundred milliseconds old when it arrives."""

    waiting: int
    """Number of requests queued for a slot or for KV cache memory."""

    running: int
    """Number of running requests."""

    memory_used: int
    """Tokens in the KV cache that cannot be evicted."""

    memory_total: int
    """Capacity of the KV cache in tokens."""

    events: Mapping[str, int] = field(default_factory=dict)
    """Number of events generated so far by each running request, by request id."""

    started_at_ms: int = 0
    """Start time of the reporting incarnation in Unix milliseconds, 0 if unknown."""

    @property
    def prefilling(self) -> int:
        """Number of running requests without an event, whose prompts are still being processed."""
        return sum(1 for generated in self.events.values() if not generated)
