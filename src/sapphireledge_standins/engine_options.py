"""Command-line options of the engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineOptions"]


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Identity, capacity and speed of an engine stand-in."""

    name: str = "engine"
    """Name of the instance."""

    data_centre: str = "akl-a"
    """Data centre of the instance."""

    region: str = "akl"
    """Region of the instance."""

    model: str = "drafter"
    """Model loaded at start."""

    version: str = "v1"
    """Version of that model."""

    software_version: str = ""
    """Version of the engine's software; empty if it names none."""

    role: str = "drafting"
    """Role at start."""

    token_rate: float = 30.0
    """Tokens per second of each running sequence."""

    slots: int = 16
    """Maximum number of concurrently running sequences."""

    queue_limit: int = 1_000
    """Maximum number of queued sequences; further ones are refused as busy."""

    prefill_rate: float = 4_000.0
    """Prompt tokens processed per second."""

    cache_blocks: int = 4_096
    """Capacity of the prefix cache in blocks of 64 tokens."""

    checks_fencing: bool = True
    """Whether orders with an old fencing number are refused."""

    load_seconds: float = 0.0
    """Seconds that loading a model takes."""

    seed: int = 0
    """Seed of the jitter between tokens."""
