"""An entry instance of the fleet."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Member"]


@dataclass(frozen=True, slots=True)
class Member:
    """An entry instance of the fleet."""

    name: str
    """Name of the instance, unique in the fleet."""

    data_centre: str
    """Data centre of the instance."""

    region: str
    """Region of the data centre."""

    address: str
    """Peer address, "IP:port"."""

    leaving: bool = False
    """Whether the instance is listed as leaving or reports that it is draining."""
