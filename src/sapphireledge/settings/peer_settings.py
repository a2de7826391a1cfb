"""Settings of the links to other entry instances."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["PeerSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class PeerSettings:
    """Settings of the links to other entry instances."""

    heartbeat: float = setting(1.0, unit="s", ge=0.05, le=60)
    """Interval between heartbeats."""

    dead_after: float = setting(3.0, unit="s", ge=0.1, le=600)
    """Time without a response after which a peer counts as unreachable."""

    copy_interval: float = setting(0.02, unit="s", ge=0.001, le=1)
    """Interval between batches of answer copies."""

    copy_timeout: float = setting(0.1, unit="s", ge=0.01, le=10)
    """Time to wait for the partner to store a token before it is delivered without a copy."""

    max_message: int = setting(4_194_304, unit="bytes", ge=65_536, le=67_108_864)
    """Maximum size of a peer message."""
