"""Options of the engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineOptions"]


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of the engine stand-in."""

    name: str = "engine"
    """Name of the instance."""

    data_centre: str = "akl-a"
    """Data centre of the instance."""

    region: str = "akl"
    """Region of the instance."""

    model: str = "drafter"
    """Model that is loaded at start."""

    version: str = "v1"
    """Its version."""

    role: str = "drafting"
    """Role at start."""

    token_rate: float = 30.0
    """Tokens per second of each running sequence."""

    slots: int = 16
    """Sequences that run at once."""

    queue_limit: int = 1_000
    """Sequences that wait at most; more are refused as busy."""

    prefill_rate: float = 4_000.0
    """Prompt tokens per second."""

    cache_blocks: int = 4_096
    """Prefix blocks that the cache holds, 64 tokens each."""

    checks_fencing: bool = True
    """Whether an order with an old fencing number is refused."""

    load_seconds: float = 0.0
    """Duration of loading a model."""

    seed: int = 0
    """Seed of the variation of the token times."""
