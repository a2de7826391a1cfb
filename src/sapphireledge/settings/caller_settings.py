"""Limits of the caller interface."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["CallerSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class CallerSettings:
    """Limits of the caller interface."""

    max_body: int = setting(1_048_576, unit="bytes", ge=1_024, le=67_108_864)
    """Largest accepted request body."""

    max_header: int = setting(16_384, unit="bytes", ge=1_024, le=262_144)
    """Largest accepted header section."""

    require_token: bool = False
    """Whether a bearer token is required."""

    finished_retention: float = setting(60.0, unit="s", ge=1, le=3_600)
    """How long a finished answer is kept for a caller that reconnects."""

    default_rank: str = "standard"
    """Rank of a request that names none."""

    default_workspace: str = "default"
    """Workspace of a request that names none and has no token."""
