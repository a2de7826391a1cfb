"""A model version."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ModelVersion"]


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """A model version."""

    model: str
    """Name of the model."""

    version: str
    """Its version."""
