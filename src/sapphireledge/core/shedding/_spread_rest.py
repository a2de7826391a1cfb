"""Spreads the arrivals of workspaces that are not listed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["spread_rest"]

MAX_PARTS = 256
"""Largest number of workspaces of a rank that unlisted arrivals are spread over."""


def spread_rest(arrivals: Mapping[tuple[int, str], float]) -> dict[tuple[int, str], float]:
    """Spreads the unlisted arrivals of each rank over workspaces as small as the smallest listed.

    As one workspace they would be the largest, and take the part of many in a division.

    Args:
        arrivals: Arrivals by rank and workspace, unlisted ones under an empty workspace.

    Returns:
        Arrivals by rank and workspace. The names of the assumed workspaces begin with a NUL
        character, which no workspace has.
    """
    spread = {caller: amount for caller, amount in arrivals.items() if caller[1]}
    smallest: dict[int, float] = {}
    for (rank, _), amount in spread.items():
        smallest[rank] = min(amount, smallest.get(rank, amount))
    for (rank, workspace), amount in arrivals.items():
        if workspace or amount <= 0.0:
            continue
        part = max(smallest.get(rank, amount), amount / MAX_PARTS)
        count = max(1, min(MAX_PARTS, round(amount / part)))
        for number in range(count):
            spread[rank, f"\0{number}"] = amount / count
    return spread
