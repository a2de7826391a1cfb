"""Order to run a stream on an engine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge_experiment.model.engine_run import EngineRun
    from sapphireledge_experiment.model.simulated_engine import SimulatedEngine

__all__ = ["StartOrder"]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to run a stream on an engine."""

    engine: SimulatedEngine
    """Engine that runs the stream."""

    standby: SimulatedEngine | None = None
    """Engine to which the KV cache is copied, None for no copy."""

    is_late: bool = False
    """Whether the stream is expected to miss its target."""

    prompts_ahead: int | None = None
    """Prompts that the engine processes first, None if it was not chosen by its report."""

    copy_of: EngineRun | None = None
    """Earlier run whose copy the engine holds, None without one."""
