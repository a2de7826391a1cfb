"""Settings of queueing, rank shares and retries."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["AdmissionSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class AdmissionSettings:
    """Settings of queueing, rank shares and retries."""

    usage_half_life: float = setting(30.0, unit="s", ge=1, le=3_600)
    """Half-life of the usage recorded for a workspace."""

    share_window: float = setting(10.0, unit="s", ge=1, le=600)
    """Window over which rank shares are enforced."""

    late_wait: float = setting(60.0, unit="s", ge=0, le=3_600)
    """Maximum queueing time of a rank that accepts late answers."""

    retry_ratio: float = setting(0.2, ge=0, le=1)
    """Retries allowed per first attempt."""

    retry_burst: int = setting(10, ge=1, le=10_000)
    """Retries allowed before `retry_ratio` applies."""

    resume_share: float = setting(0.3, ge=0.05, le=1)
    """Fraction of the backend capacity that resumes may use while first attempts are queued."""

    max_queued: int = setting(20_000, unit="requests", ge=1, le=1_000_000)
    """Maximum queue length, a memory bound; the limit on the waiting time applies first."""
