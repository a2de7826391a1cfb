"""Selection of the entries that exchange heartbeats with another data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.membership.rank_by_rendezvous import rank_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["choose_representatives"]

REPRESENTATIVE_COUNT = 2
"""Representatives of a data centre for each other one; with two, one may fail without effect."""


def choose_representatives(members: Iterable[str], other: str) -> tuple[str, ...]:
    """Chooses the representatives of one data centre for another.

    Args:
        members: Names of the live entries of the data centre.
        other: Name of the other data centre.

    Returns:
        At most `REPRESENTATIVE_COUNT` names.
    """
    return rank_by_rendezvous(other, members)[:REPRESENTATIVE_COUNT]
