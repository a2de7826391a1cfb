"""Engines selected for one attempt of a stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.replica import Replica

__all__ = ["EngineSelection"]


@dataclass(frozen=True, slots=True)
class EngineSelection:
    """Engines selected for one attempt of a stream."""

    server: BackendServer
    """Engine that runs the stream."""

    standby: BackendServer | None
    """Standby engine to which the KV cache is replicated, or None."""

    replica_source: Replica | None
    """Copy of the KV cache to resume from, or None."""

    prompts_ahead: float | None = None
    """Work that the engine does first, in typical prompts; None if it was not chosen by its
    report."""

    is_late: bool = False
    """Whether the stream is expected to miss its target."""

    own_work: float = 1.0
    """What the engine has to process of the prompt, in typical prompts."""

    kept_tokens: int = 0
    """Tokens of the prompt that the engine probably keeps."""
