"""Settings of the detection of lost attempts and their resumption on another engine."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["ResumeSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class ResumeSettings:
    """Settings of the detection of lost attempts and their resumption on another engine."""

    gap_floor: float = setting(0.5, unit="s", ge=0.05, le=5)
    """Lower bound of the token gap after which an attempt counts as lost."""

    gap_ceiling: float = setting(1.5, unit="s", ge=0.1, le=30)
    """Upper bound of the token gap after which an attempt counts as lost."""

    gap_deviations: float = setting(6.0, ge=1, le=50)
    """Number of mean deviations added to the mean token gap to get this limit."""

    first_token_silence: float = setting(2.0, unit="s", ge=0.1, le=600)
    """Time without a first token after which an attempt is probed."""

    probe_timeout: float = setting(0.3, unit="s", ge=0.05, le=5)
    """Timeout of a probe, including its new connection."""

    max_attempts: int = setting(8, ge=1, le=100)
    """Maximum number of attempts of a request before it is refused."""
