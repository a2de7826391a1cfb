"""Load of an engine, decoded from its report."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sapphireledge.core.placement import count_prompts_left

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.gateway.backend_server import BackendServer

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

    lists_runs: bool = True
    """Whether the report lists the runs of the engine."""

    prefill_tokens: int = 0
    """Tokens in the KV cache of requests whose prompts are still being processed."""

    next_tokens: int = 0
    """Prompt tokens of the first queued request, 0 if unknown."""

    @property
    def prefilling(self) -> int:
        """Number of running requests without an event, whose prompts are still being processed.

        Engines list a run from its first event on.
        """
        generating = sum(1 for generated in self.events.values() if generated)
        return max(0, self.running - generating) if self.lists_runs else 0

    @property
    def has_unlisted_work(self) -> bool:
        """Whether requests wait or are processed that the report does not list.

        A preempted run waits like a new request, and its prompt is processed again.
        """
        return self.waiting > 0 or self.prefilling > 0

    def is_from(self, server: BackendServer) -> bool:
        """Whether the report can be that of an incarnation of an engine.

        Args:
            server: The engine.

        Returns:
            False if another incarnation sent it.
        """
        known = self.started_at_ms and server.started_at_ms
        return not known or self.started_at_ms == server.started_at_ms

    def count_tokens_ahead(self, typical_tokens: float) -> float:
        """Estimates the prompt tokens that the engine processes before a new request.

        Args:
            typical_tokens: Length of a prompt that the report does not tell, in tokens.

        Returns:
            Tokens.
        """
        prefill = 0.0
        if self.prefilling:
            length = self.prefill_tokens / self.prefilling or typical_tokens
            prefill = count_prompts_left(self.prefilling) * length
        if not self.waiting:
            return prefill
        return prefill + (self.next_tokens or typical_tokens) + (self.waiting - 1) * typical_tokens
