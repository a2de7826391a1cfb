"""Another instance of the same data centre."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Peer"]


@dataclass(frozen=True, slots=True)
class Peer:
    """An instance that can be followed."""

    name: str
    """Name of the instance."""

    host: str
    """IP address."""

    port: int
    """Port of its feed server."""

    data_centre: str
    """Data centre that it runs in."""

    link_mbps: float
    """Speed of its network link in Mbit/s."""
