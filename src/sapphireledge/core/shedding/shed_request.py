"""Refusal of a request because its service is overloaded."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ShedRequest"]


@dataclass(frozen=True, slots=True)
class ShedRequest:
    """Refusal of a request that was not sent to any server."""

    admitted_share: float
    """Share of the service's requests that this instance forwards now."""

    response_time: float
    """Recent response time, as a share of the latency target."""

    retry_after: float
    """Seconds after which the caller should return."""
