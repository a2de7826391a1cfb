"""Queueing, rank shares and retries."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["AdmissionSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class AdmissionSettings:
    """Queueing, rank shares and retries."""

    usage_half_life: float = setting(30.0, unit="s", ge=1, le=3_600)
    """Half life of the usage of a workspace."""

    share_window: float = setting(10.0, unit="s", ge=1, le=600)
    """Window over which rank shares are enforced."""

    late_wait: float = setting(60.0, unit="s", ge=0, le=3_600)
    """Longest wait of a rank whose late work is still wanted."""

    retry_ratio: float = setting(0.2, ge=0, le=1)
    """Retries permitted per first try."""

    retry_burst: int = setting(10, ge=1, le=10_000)
    """Retries permitted before the ratio applies."""

    resume_share: float = setting(0.3, ge=0.05, le=1)
    """Share of backend capacity that resumes may take while first tries wait."""

    max_queued: int = setting(20_000, unit="requests", ge=1, le=1_000_000)
    """Memory bound of the queue; the time bound applies first."""
