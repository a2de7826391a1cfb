"""At-most-once execution of non-idempotent requests."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["ClaimSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class ClaimSettings:
    """At-most-once execution of non-idempotent requests."""

    lease: float = setting(5.0, unit="s", ge=0.5, le=60)
    """Time from the claim write within which its creator may dispatch."""

    window: float = setting(86_400.0, unit="s", ge=60, le=604_800)
    """Age of the oldest accepted idempotency key."""

    future_skew: float = setting(300.0, unit="s", ge=1, le=3_600)
    """Largest accepted clock difference of a key from the future."""

    bucket: float = setting(300.0, unit="s", ge=10, le=86_400)
    """Length of the time bucket in a claim's object key."""

    service_timeout: float = setting(30.0, unit="s", ge=0.1, le=600)
    """Time limit of one call to a plain service."""

    max_outcome: int = setting(4096, unit="bytes", ge=0, le=65_536)
    """Largest response body that is stored with the outcome."""

    poll_interval: float = setting(0.25, unit="s", ge=0.01, le=10)
    """Interval of readings while another call with the same key runs."""

    void_timeout: float = setting(0.3, unit="s", ge=0.05, le=10)
    """Time within which every entry must answer that it never received a key."""

    collect_rate: float = setting(150.0, unit="deletions/s", ge=0.1, le=1_000)
    """Deletions of old claims by the whole fleet."""

    settle_timeout: float = setting(1.5, unit="s", ge=0.1, le=60)
    """Time after which a claim that the platform has not confirmed is given up."""
