"""Instance whose streams wait in a queue."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_registry import BackendRegistry
    from sapphireledge_experiment.model.model_context import ModelContext

__all__ = ["QueueOwner"]


class QueueOwner(Protocol):
    """What a queue needs of its instance."""

    world: ModelContext
    """Everything else."""

    is_dead: bool
    """Whether the instance has ended."""

    registry: BackendRegistry
    """Servers as the instance sees them."""

    def count_dispatches(self, engine: str, window: float) -> int:
        """Counts the streams sent to an engine within a time before now."""
