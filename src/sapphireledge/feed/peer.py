"""Description of an entry instance."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Peer"]


@dataclass(frozen=True, slots=True)
class Peer:
    """An entry instance that others can follow."""

    name: str
    """Name of the instance."""

    host: str
    """IP address."""

    port: int
    """TCP port on which followers connect."""

    data_centre: str
    """Data centre that it runs in."""

    link_mbps: float
    """Bandwidth of its network link in Mbit/s."""
