"""State that an engine reports."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineState", "ModelVersion"]


@dataclass(frozen=True, slots=True, order=True)
class ModelVersion:
    """A model at a specific version."""

    model: str
    """Name of the model."""

    version: str
    """Version of the model."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports."""

    name: str
    """Name of the engine."""

    role: str
    """Current role of the engine."""

    models: frozenset[ModelVersion] = frozenset()
    """Model versions that are loaded and can be served."""

    loading: frozenset[ModelVersion] = frozenset()
    """Model versions that are being loaded."""

    running: frozenset[ModelVersion] = frozenset()
    """Model versions with requests in flight."""

    adapters: frozenset[str] = frozenset()
    """Adapters that are loaded."""
