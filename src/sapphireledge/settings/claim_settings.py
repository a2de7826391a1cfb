"""Settings of the at-most-once execution of non-idempotent requests."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["ClaimSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class ClaimSettings:
    """Settings of the at-most-once execution of non-idempotent requests."""

    lease: float = setting(5.0, unit="s", ge=0.5, le=60)
    """Time after writing a claim during which its creator may dispatch the request."""

    window: float = setting(86_400.0, unit="s", ge=60, le=604_800)
    """Maximum age of an accepted idempotency key."""

    future_skew: float = setting(300.0, unit="s", ge=1, le=3_600)
    """Maximum clock skew accepted for an idempotency key with a future timestamp."""

    bucket: float = setting(300.0, unit="s", ge=10, le=86_400)
    """Length of the time bucket in a claim's object key."""

    service_timeout: float = setting(30.0, unit="s", ge=0.1, le=600)
    """Timeout of a call to a plain service."""

    max_outcome: int = setting(4096, unit="bytes", ge=0, le=65_536)
    """Maximum size of a response body that is stored with the outcome."""

    poll_interval: float = setting(0.25, unit="s", ge=0.01, le=10)
    """Interval at which the claim is read while another call with the same key runs."""

    void_timeout: float = setting(0.3, unit="s", ge=0.05, le=10)
    """Time within which every entry instance must confirm that it never received a key."""

    collect_rate: float = setting(150.0, unit="deletions/s", ge=0.1, le=1_000)
    """Rate at which the fleet as a whole deletes old claims."""

    settle_timeout: float = setting(1.5, unit="s", ge=0.1, le=60)
    """Time after which a claim write that the platform has not confirmed is abandoned."""
