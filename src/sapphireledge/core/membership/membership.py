"""Members of the fleet, their reachability, and the peers of this entry."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sapphireledge.core.membership.choose_representatives import choose_representatives

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sapphireledge.core.membership.member import Member

__all__ = ["Membership"]

UNREACHABLE_RETRY_DELAY = 30.0
"""Seconds for which an unreachable entry of another data centre is skipped."""


class Membership:
    """Combines the platform's instance list, which lags, with the reports of peers.

    An entry is a member while it is in the list or is reachable.
    """

    def __init__(self, local_member: Member, dead_after: float) -> None:
        """Creates a membership that contains only this entry.

        Args:
            local_member: This entry.
            dead_after: Seconds of silence after which a peer counts as unreachable.
        """
        self.local_member = local_member
        """This entry."""
        self._dead_after = dead_after
        self._listed: dict[str, Member] = {}
        self._announced: dict[str, Member] = {}
        self._last_contact: dict[str, float] = {}
        self._first_seen: dict[str, float] = {}
        self._last_failure: dict[str, float] = {}
        self._draining: set[str] = set()

    def on_instances(self, now: float, members: Iterable[Member]) -> None:
        """Replaces the instance list.

        Args:
            now: Time of the list in seconds.
            members: All entries that the platform lists; may include this entry.
        """
        self._listed = {
            member.name: member for member in members if member.name != self.local_member.name
        }
        for name in self._listed:
            self._first_seen.setdefault(name, now)
        for name in [name for name in self._first_seen if name not in self._listed]:
            if not self.is_reachable(now, name):
                self._remove(name)

    def on_peer_seen(self, now: float, member: Member, draining: bool = False) -> None:
        """Records a hello or a heartbeat from a peer.

        Args:
            now: Time of arrival in seconds.
            member: The peer as described by itself.
            draining: Whether the peer accepts no new work.
        """
        if member.name == self.local_member.name:
            return
        self._announced[member.name] = member
        self._first_seen.setdefault(member.name, now)
        self._draining.discard(member.name)
        if draining:
            self._draining.add(member.name)
        self.on_reply(now, member.name)

    def on_reply(self, now: float, name: str) -> None:
        """Records the reply of a peer to a call.

        Args:
            now: Time of the reply in seconds.
            name: Name of the peer.
        """
        self._last_contact[name] = now
        self._last_failure.pop(name, None)

    def on_unreachable(self, now: float, name: str) -> None:
        """Records a failure to connect to a peer.

        Args:
            now: Time of the failure in seconds.
            name: Name of the peer.
        """
        self._last_failure[name] = now

    def is_reachable(self, now: float, name: str) -> bool:
        """Whether a peer has sent anything within `dead_after` seconds.

        Args:
            now: Current time in seconds.
            name: Name of the peer.

        Returns:
            Whether the peer is reachable; always True for this entry.
        """
        if name == self.local_member.name:
            return True
        return name in self._last_contact and now - self._last_contact[name] < self._dead_after

    def members(self, now: float) -> tuple[Member, ...]:
        """Returns all known entries of the fleet, reachable or not.

        Args:
            now: Current time in seconds.

        Returns:
            The entries sorted by name, including this entry.
        """
        known = {self.local_member.name: self.local_member}
        for name, member in self._announced.items():
            if self.is_reachable(now, name):
                known[name] = member
        known.update(self._listed)
        marked = (
            replace(member, leaving=True) if name in self._draining else member
            for name, member in known.items()
        )
        return tuple(sorted(marked, key=lambda member: member.name))

    def live_members(self, now: float) -> tuple[Member, ...]:
        """Returns the entries that are presumed alive.

        In this data centre these are the reachable ones. Most entries of other data centres have no
        contact with this one, so they count as alive unless a connection to them failed recently.

        Args:
            now: Current time in seconds.

        Returns:
            The entries sorted by name, including this entry.
        """
        return tuple(member for member in self.members(now) if self._is_live(now, member))

    def peers(self, now: float) -> tuple[Member, ...]:
        """Returns the entries with which this entry exchanges heartbeats.

        Args:
            now: Current time in seconds.

        Returns:
            Every other entry of this data centre, reachable or not, and the representatives of each
            other data centre for which this entry is a representative.
        """
        members = self.members(now)
        own_centre = self.local_member.data_centre
        local = [
            m for m in members if m.data_centre == own_centre and m.name != self.local_member.name
        ]
        remote = {m.data_centre for m in members} - {own_centre}
        for other in sorted(remote):
            if self.local_member.name in self.representatives(now, own_centre, other):
                names = self.representatives(now, other, own_centre)
                local.extend(m for m in members if m.name in names)
        return tuple(local)

    def representatives(self, now: float, data_centre: str, other: str) -> tuple[str, ...]:
        """Returns the representatives of one data centre for another.

        Args:
            now: Current time in seconds.
            data_centre: Data centre that is represented.
            other: Data centre with which the representatives exchange heartbeats.

        Returns:
            Names of at most two entries.
        """
        usable = [
            member.name
            for member in self.members(now)
            if member.data_centre == data_centre
            and (member.name == self.local_member.name or self._is_presumed_live(now, member))
        ]
        return choose_representatives(usable, other)

    def _is_live(self, now: float, member: Member) -> bool:
        """Whether an entry counts as alive in `live_members`."""
        if member.data_centre == self.local_member.data_centre:
            return self.is_reachable(now, member.name)
        return self._is_presumed_live(now, member)

    def _is_presumed_live(self, now: float, member: Member) -> bool:
        """Whether an entry counts as alive in the choice of representatives.

        An unreachable entry of this data centre counts for `dead_after` seconds after it was first
        seen, so that it has time to reply; one of another data centre counts unless a connection to
        it failed recently.
        """
        if self.is_reachable(now, member.name):
            return True
        if member.data_centre == self.local_member.data_centre:
            return now - self._first_seen.get(member.name, now) < self._dead_after
        failed = self._last_failure.get(member.name)
        return failed is None or now - failed >= UNREACHABLE_RETRY_DELAY

    def _remove(self, name: str) -> None:
        """Removes the state of an entry that left."""
        for known in (self._announced, self._last_contact, self._first_seen, self._last_failure):
            known.pop(name, None)
        self._draining.discard(name)
