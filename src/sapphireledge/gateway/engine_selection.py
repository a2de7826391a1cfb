"""Engines selected for one attempt of a stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["EngineSelection"]


@dataclass(frozen=True, slots=True)
class EngineSelection:
    """Engines selected for one attempt of a stream."""

    server: BackendServer
    """Engine that runs the stream."""

    standby: BackendServer | None
    """Standby engine to which the KV cache is replicated, or None."""

    replica_source: BackendServer | None
    """Engine that holds a replica to resume from, or None."""

    prompts_ahead: int | None = None
    """Prompts that the engine processes first, None if it was not chosen by its report."""

    is_late: bool = False
    """Whether the stream is expected to miss its target."""
