"""What an engine reports of itself."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineState", "ModelVersion"]


@dataclass(frozen=True, slots=True, order=True)
class ModelVersion:
    """One version of one model."""

    model: str
    """Model name."""

    version: str
    """Version of the model."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine reports of itself."""

    name: str
    """Name of the engine."""

    role: str
    """Its role."""

    models: frozenset[ModelVersion] = frozenset()
    """What it can serve now."""

    loading: frozenset[ModelVersion] = frozenset()
    """What it is loading."""

    running: frozenset[ModelVersion] = frozenset()
    """What it has requests in flight for."""

    adapters: frozenset[str] = frozenset()
    """Adapters that it holds."""
