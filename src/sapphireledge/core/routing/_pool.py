"""Backend servers that can run the same requests."""

from __future__ import annotations

from enum import IntEnum

from sapphireledge.core.routing._indexed_set import IndexedSet

__all__ = ["Pool", "Tier"]


class Tier(IntEnum):
    """Distance of a backend server from the instance."""

    DATA_CENTRE = 0
    """In the same data centre."""

    REGION = 1
    """In another data centre of the same region."""

    REMOTE = 2
    """In another region."""


class Pool:
    """Backend servers of one model version and role, or of one plain service.

    Membership and state are kept up to date by the view, so that a choice needs no scan.
    """

    __slots__ = (
        "available",
        "busy",
        "free",
        "member_counts",
        "members",
        "rate",
        "selected",
        "selection_stale",
        "total",
    )

    def __init__(self) -> None:
        self.members: dict[str, set[str]] = {}
        """All usable members by data centre."""
        self.selected: set[str] | None = None
        """Members that the instance uses; None if it uses all of them."""
        self.selection_stale = False
        """Whether the selection has to be renewed."""
        self.available = tuple(IndexedSet() for _ in Tier)
        """Selected members with a free slot and a fresh report, by distance."""
        self.busy = tuple(IndexedSet() for _ in Tier)
        """The other selected members, by distance."""
        self.member_counts: dict[str, tuple[int, int, float]] = {}
        """Free slots, slots and token rate counted for each selected member."""
        self.free = 0
        """Sum of the free slots."""
        self.total = 0
        """Sum of the slots."""
        self.rate = 0.0
        """Sum of the token rates, in tokens per second."""

    @property
    def size(self) -> int:
        """Number of members, selected or not."""
        return sum(len(names) for names in self.members.values())

    def is_selected(self, name: str) -> bool:
        """Whether the instance uses a member.

        Args:
            name: Name of the backend server.
        """
        return name in self.member_counts

    def update_member(self, name: str, tier: Tier, counts: tuple[int, int, float]) -> None:
        """Puts a selected member where its state belongs.

        Args:
            name: Name of the backend server.
            tier: Its distance.
            counts: Free slots, slots and token rate.
        """
        self._update_totals(name, counts)
        chosen, other = (
            (self.available, self.busy) if counts[0] > 0 else (self.busy, self.available)
        )
        other[tier].discard(name)
        chosen[tier].add(name)

    def deselect(self, name: str, tier: Tier) -> None:
        """Takes a member out of the selection.

        Args:
            name: Name of the backend server.
            tier: Its distance.
        """
        self._update_totals(name, None)
        self.available[tier].discard(name)
        self.busy[tier].discard(name)

    def _update_totals(self, name: str, counts: tuple[int, int, float] | None) -> None:
        """Replaces what is counted for a member in the sums."""
        free, slots, rate = self.member_counts.pop(name, (0, 0, 0.0))
        if counts is not None:
            self.member_counts[name] = counts
            free, slots, rate = free - counts[0], slots - counts[1], rate - counts[2]
        self.free -= free
        self.total -= slots
        self.rate = self.rate - rate if self.member_counts else 0.0
