"""Settings of the caller interface."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["CallerSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class CallerSettings:
    """Settings of the caller interface."""

    max_body: int = setting(1_048_576, unit="bytes", ge=1_024, le=67_108_864)
    """Maximum size of a request body."""

    max_header: int = setting(16_384, unit="bytes", ge=1_024, le=262_144)
    """Maximum size of a request header section."""

    require_token: bool = False
    """Whether callers must send a bearer token."""

    finished_retention: float = setting(60.0, unit="s", ge=1, le=3_600)
    """How long a completed answer is kept for a caller that reconnects."""

    default_rank: str = "standard"
    """Rank of a request that does not specify one."""

    default_workspace: str = "default"
    """Workspace of a request that has neither a token nor a workspace header."""
