"""Load of one candidate engine as this instance sees it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineView"]


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
    """Number of running requests whose prompts are still being processed."""

    running: int
    """Number of running requests, including those whose prompts are being processed."""

    recently_sent: int
    """Requests that this instance sent and the report may not include yet."""

    free_tokens: int | None
    """Free KV cache memory in tokens, None if unknown."""

    @property
    def prompts_ahead(self) -> int:
        """Number of prompts that the engine processes before a new one."""
        return self.waiting + self.prefilling + self.recently_sent
