"""Version of a model."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ModelVersion"]


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """Model name and version that an engine has loaded."""

    model: str
    """Name of the model."""

    version: str
    """Version of the model."""
