"""Detection of a lost attempt and continuation elsewhere."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["ResumeSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class ResumeSettings:
    """Detection of a lost attempt and continuation elsewhere."""

    gap_floor: float = setting(0.5, unit="s", ge=0.05, le=5)
    """Shortest silence that counts as a loss."""

    gap_ceiling: float = setting(1.5, unit="s", ge=0.1, le=30)
    """Longest silence tolerated once tokens flow."""

    gap_deviations: float = setting(6.0, ge=1, le=50)
    """Multiple of the mean deviation added to the mean gap."""

    first_token_silence: float = setting(2.0, unit="s", ge=0.1, le=600)
    """Silence before the first token of an attempt after which the attempt is probed."""

    probe_timeout: float = setting(0.3, unit="s", ge=0.05, le=5)
    """Time limit of a probe on a new connection."""

    max_attempts: int = setting(8, ge=1, le=100)
    """Attempts of one request before it is refused."""
