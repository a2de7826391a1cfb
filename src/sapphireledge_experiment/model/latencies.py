"""One-way delays between machines."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge_experiment.settings import FleetSpec

__all__ = ["one_way_delay"]


def one_way_delay(fleet: FleetSpec, one: int, other: int) -> float:
    """Looks up the one-way delay between two data centres.

    Args:
        fleet: The fleet.
        one: Number of a data centre.
        other: Number of the same or another data centre.

    Returns:
        Seconds.
    """
    return fleet.local_delay if one == other else fleet.remote_delay
