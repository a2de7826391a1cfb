"""Declaration of a service other than an inference engine."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["Service"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Service:
    """A plain HTTP service, as opposed to an inference engine."""

    name: str = setting(..., min_length=1)
    """Name used in the request path."""

    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    """HTTP methods that may be retried; calls with other methods run at most once."""

    timeout: float = setting(30.0, ge=0.1, le=600, unit="s")
    """Timeout of one call."""
