"""Choice of the entry that keeps the copies of answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.membership.rank_by_rendezvous import rank_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from sapphireledge.core.membership.member import Member

__all__ = ["choose_partner"]


def choose_partner(
    own: Member, members: Iterable[Member], avoid: Collection[str] = ()
) -> Member | None:
    """Chooses the partner of an entry inside its data centre.

    Every entry that has the same list chooses the same partner, and a change of the list moves the
    choice only if the first choice left or a better one joined.

    Args:
        own: The entry itself.
        members: Live entries, the own one included or not.
        avoid: Names that failed recently.

    Returns:
        The partner, or None if the data centre has no other usable entry.
    """
    usable = {
        member.name: member
        for member in members
        if member.data_centre == own.data_centre
        and member.name != own.name
        and member.name not in avoid
        and not member.leaving
    }
    ranked = rank_by_rendezvous(own.name, usable)
    return usable[ranked[0]] if ranked else None
