"""Load report of an engine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.routing.model_version import ModelVersion

__all__ = ["LoadReport"]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load and loaded models of an engine at a point in time."""

    backend: str
    """Name of the backend server."""

    boot_id: str
    """Boot id of the engine incarnation."""

    as_of: float
    """Time that the report describes, in seconds on the clock of this instance.

    Computed as the time at which the poll was sent minus the age stated by the engine.
    """

    running: int
    """Number of running sequences."""

    waiting: int
    """Number of sequences waiting inside the engine."""

    slots: int
    """Number of sequences that can run concurrently."""

    token_rate: float
    """Generated tokens per second."""

    models: tuple[ModelVersion, ...]
    """Loaded model versions."""

    role: str = "drafting"
    """Role of the engine."""

    adapters: tuple[str, ...] = ()
    """Names of the loaded adapters."""

    leaving: bool = False
    """Whether the engine announces that it is leaving."""

    software: str = ""
    """Version of the engine's software; empty if it names none."""
