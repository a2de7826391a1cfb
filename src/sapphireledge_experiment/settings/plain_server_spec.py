"""Speed of the plain servers."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["PlainServerSpec"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class PlainServerSpec:
    """Speed of the plain servers, which answer each request at once or from a queue."""

    slots: int = setting(8, unit="requests", ge=1, le=4_096)
    """Requests that run at the same time."""

    queue: int = setting(32, unit="requests", ge=1, le=100_000)
    """Requests that wait for a slot; further ones are rejected."""

    service_time: float = setting(0.08, unit="s", ge=0.0001, le=60)
    """Mean time to serve a request."""

    spread: float = setting(0.5, ge=0, le=5)
    """Standard deviation of the time to serve a request, as a fraction of the mean."""

    restart_time: float = setting(3.0, unit="s", ge=0, le=3_600)
    """Time from the end of a server to the start of the next one in its place."""
