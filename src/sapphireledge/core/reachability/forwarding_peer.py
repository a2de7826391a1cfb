"""An instance to which requests can be forwarded."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ForwardingPeer"]


@dataclass(frozen=True, slots=True)
class ForwardingPeer:
    """Address at which another instance takes requests from instances that are cut off."""

    name: str
    """Name of the instance."""

    data_centre: str
    """Data centre of the instance."""

    host: str
    """IP address."""

    port: int
    """TCP port, which serves no callers."""
