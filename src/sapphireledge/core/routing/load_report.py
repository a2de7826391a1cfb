"""Load report of an engine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.routing.model_version import ModelVersion

__all__ = ["LoadReport"]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report of an engine."""

    backend: str
    """Name of the backend server."""

    boot_id: str
    """Boot id of the engine incarnation."""

    as_of: float
    """Time that the report describes, in seconds of this instance's clock.

    The time at which the poll was sent, minus the age that the engine states.
    """

    running: int
    """Sequences that run."""

    waiting: int
    """Sequences that wait inside the engine."""

    slots: int
    """Sequences that can run at the same time."""

    token_rate: float
    """Generated tokens per second."""

    models: tuple[ModelVersion, ...]
    """Model versions that are loaded."""

    role: str = "drafting"
    """Role that the engine has."""

    adapters: tuple[str, ...] = ()
    """Adapters that are loaded."""

    leaving: bool = False
    """Whether the engine says that it is leaving."""
