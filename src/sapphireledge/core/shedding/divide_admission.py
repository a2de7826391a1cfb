"""Division of the requests that a service can take among ranks and workspaces.

Load pattern: a few workspaces send far more than the others while the service is overloaded. If
each request had the same chance, the small workspaces would pay for the load of the large ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["divide_admission"]

Caller = TypeVar("Caller")


def divide_admission(
    rates: Mapping[tuple[int, str], float], share: float, rank_floor: float
) -> dict[tuple[int, str], float]:
    """Divides admission by rank first, then equally among the workspaces of a rank.

    Args:
        rates: Arrivals per second by rank and workspace.
        share: Share of all arrivals that are admitted, 0 to 1.
        rank_floor: Share of its even part that each rank keeps, 0 to 1.

    Returns:
        Probability with which a request of a rank and workspace is admitted.
    """
    by_rank: dict[int, dict[str, float]] = {}
    for (rank, workspace), rate in rates.items():
        by_rank.setdefault(rank, {})[workspace] = rate
    demand = {rank: sum(workspaces.values()) for rank, workspaces in by_rank.items()}
    capacity = {rank: rank_floor * share * total for rank, total in demand.items()}
    spare = share * sum(demand.values()) - sum(capacity.values())
    for rank in sorted(demand):
        extra = min(spare, demand[rank] - capacity[rank])
        capacity[rank] += extra
        spare -= extra
    return {
        (rank, workspace): min(1.0, level / rate) if rate > 0.0 else 1.0
        for rank, workspaces in by_rank.items()
        for level in (_find_level(workspaces, capacity[rank]),)
        for workspace, rate in workspaces.items()
    }


def _find_level(rates: Mapping[Caller, float], capacity: float) -> float:
    """Finds the rate to which each caller is limited so that all together fit into the capacity."""
    remaining = capacity
    ordered = sorted(rates.values())
    for index, rate in enumerate(ordered):
        level = remaining / (len(ordered) - index)
        if rate > level:
            return level
        remaining -= rate
    return ordered[-1] if ordered else 0.0
