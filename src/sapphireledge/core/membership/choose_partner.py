"""Selection of the entry that stores copies of answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.membership.rank_by_rendezvous import rank_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from sapphireledge.core.membership.member import Member

__all__ = ["choose_partner"]


def choose_partner(
    entry: Member, members: Iterable[Member], avoid: Collection[str] = ()
) -> Member | None:
    """Chooses the partner of an entry within its data centre.

    Entries with the same list choose the same partner. A change of the list changes the partner
    only if the partner left or a member that ranks higher joined.

    Args:
        entry: The entry that needs a partner.
        members: Live entries; may include `entry`.
        avoid: Names of entries that failed recently.

    Returns:
        The partner, or None if the data centre has no other usable entry.
    """
    usable = {
        member.name: member
        for member in members
        if member.data_centre == entry.data_centre
        and member.name != entry.name
        and member.name not in avoid
        and not member.leaving
    }
    ranked = rank_by_rendezvous(entry.name, usable)
    return usable[ranked[0]] if ranked else None
