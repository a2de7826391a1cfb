"""Terms of the cost by which the servers of a service are ranked."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServerCost"]


@dataclass(frozen=True, slots=True)
class ServerCost:
    """Terms of the cost of a server, in requests in flight from this instance.

    Servers whose sums are equal to one decimal are ordered by the affinity of the request.
    """

    in_flight: float
    """Requests in flight from this instance."""

    failures: float
    """Recent failures."""

    remote: float
    """Distance of a server in another data centre."""

    suspended: float
    """Recent lack of any usable response."""

    suspect_centre: float
    """Loss of other servers of its data centre."""
