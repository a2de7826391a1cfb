"""Declaration of a model version and the engines that serve it."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["Deployment"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Deployment:
    """A model version and the engines that serve it."""

    name: str = setting(..., min_length=1)
    """Name of the deployment."""

    model: str = setting(..., min_length=1)
    """Model name that callers use."""

    version: str = setting(..., min_length=1)
    """Model version to load; new requests use it once enough engines have it."""

    role: str = "drafting"
    """Role of the engines that serve it."""

    engines: int = setting(0, ge=0, le=10000, unit="engines")
    """Number of engines per data centre; with 0, no orders are sent."""

    adapters: tuple[str, ...] = ()
    """Adapters that the engines must have loaded."""

    checks_fencing: bool = False
    """Whether the engines reject orders with an old fencing number."""

    min_ready: float = setting(0.5, ge=0, le=1)
    """Share of the engines that stay ready during a version change."""
