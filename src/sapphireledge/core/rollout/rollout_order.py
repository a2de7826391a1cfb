"""Operator's order to move the traffic of a service to another version."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RolloutOrder"]


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order to move the traffic of a service to servers of another version."""

    service: str
    """Service."""

    target: str
    """Version that the servers are to have."""

    duration: float
    """Seconds from the order within which the move is completed."""

    order_id: str
    """Identity of the order; two orders for the same service differ in it."""
