"""Load of one candidate engine as this instance sees it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineView", "count_prompts_left"]

PREFILL_DONE = 0.5
"""Share of the prompt in progress that is done on average."""


@dataclass(frozen=True, slots=True)
class EngineView:
    """Load of one candidate engine, from a report that is a few hundred milliseconds old."""

    engine: str
    """Server id of the engine."""

    is_local: bool
    """Whether the engine is in the data centre of this instance."""

    waiting: int
    """Number of requests queued at the engine for a slot or for memory."""

    prefilling: int
    """Number of running requests whose prompts are still being processed; usually at most one."""

    running: int
    """Number of running requests, including those whose prompts are being processed."""

    recently_sent: int
    """Requests that this instance sent and the report may not include yet."""

    free_tokens: int | None
    """Free KV cache memory in tokens, None if unknown."""

    tokens_ahead: float | None = None
    """Prompt tokens that the engine processes before a new request, None if unknown."""

    kept_tokens: int = 0
    """Tokens of the prompt that the engine probably keeps and need not process again."""

    @property
    def prompts_ahead(self) -> float:
        """Number of prompts that the engine processes before a new one."""
        return self.waiting + count_prompts_left(self.prefilling) + self.recently_sent


def count_prompts_left(prefilling: int) -> float:
    """Estimates what is left of prompts that are being processed, one after another.

    Args:
        prefilling: Number of the prompts.

    Returns:
        Prompts.
    """
    return max(0.0, prefilling - PREFILL_DONE)
