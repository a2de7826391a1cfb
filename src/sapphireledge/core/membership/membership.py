"""Who belongs to the fleet, who is reachable, and whom this entry talks to."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sapphireledge.core.membership.choose_representatives import choose_representatives

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sapphireledge.core.membership.member import Member

__all__ = ["Membership"]

UNREACHABLE_RETRY_DELAY = 30.0
"""Seconds for which an unreachable entry of another data centre is passed over."""


class Membership:
    """Joins the instance list, which lags, with what peers say themselves.

    An entry belongs to the fleet while the list names it or while it was heard recently.
    """

    def __init__(self, own: Member, dead_after: float) -> None:
        """Creates a membership of the own entry alone.

        Args:
            own: The entry itself.
            dead_after: Silence in seconds after which a peer counts as unreachable.
        """
        self.own = own
        """The entry itself."""
        self._dead_after = dead_after
        self._listed: dict[str, Member] = {}
        self._announced: dict[str, Member] = {}
        self._last_contact: dict[str, float] = {}
        self._first_seen: dict[str, float] = {}
        self._last_failure: dict[str, float] = {}
        self._draining: set[str] = set()

    def on_instances(self, now: float, members: Iterable[Member]) -> None:
        """Takes a new instance list.

        Args:
            now: Time of the list.
            members: All entries that the platform names, the own one included or not.
        """
        self._listed = {member.name: member for member in members if member.name != self.own.name}
        for name in self._listed:
            self._first_seen.setdefault(name, now)
        for name in [name for name in self._first_seen if name not in self._listed]:
            if not self.is_reachable(now, name):
                self._remove(name)

    def on_peer_seen(self, now: float, member: Member, draining: bool = False) -> None:
        """Notes a hello or a heartbeat of a peer.

        Args:
            now: Time of arrival.
            member: The peer as it describes itself.
            draining: Whether it accepts no new work.
        """
        if member.name == self.own.name:
            return
        self._announced[member.name] = member
        self._first_seen.setdefault(member.name, now)
        self._draining.discard(member.name)
        if draining:
            self._draining.add(member.name)
        self.on_reply(now, member.name)

    def on_reply(self, now: float, name: str) -> None:
        """Notes a reply of a peer to a call.

        Args:
            now: Time of the reply.
            name: Name of the peer.
        """
        self._last_contact[name] = now
        self._last_failure.pop(name, None)

    def on_unreachable(self, now: float, name: str) -> None:
        """Notes that a peer cannot be connected to.

        Args:
            now: Time of the failure.
            name: Name of the peer.
        """
        self._last_failure[name] = now

    def is_reachable(self, now: float, name: str) -> bool:
        """Tells whether a peer was heard recently.

        Args:
            now: Current time.
            name: Name of the peer.

        Returns:
            True for the own entry too.
        """
        if name == self.own.name:
            return True
        return name in self._last_contact and now - self._last_contact[name] < self._dead_after

    def members(self, now: float) -> tuple[Member, ...]:
        """Returns all known entries of the fleet, reachable or not.

        Args:
            now: Current time.

        Returns:
            The entries by name, the own one included.
        """
        known = {self.own.name: self.own}
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
        """Returns the entries that are taken as alive.

        In the own data centre these are the reachable ones. Entries of other data centres are
        mostly not talked to, so the instance list counts unless a connection failed recently.

        Args:
            now: Current time.

        Returns:
            The entries by name, the own one included.
        """
        return tuple(member for member in self.members(now) if self._is_live(now, member))

    def peers(self, now: float) -> tuple[Member, ...]:
        """Returns the entries with which this entry exchanges heartbeats.

        Args:
            now: Current time.

        Returns:
            Every other entry of the own data centre, reachable or not, and the representatives of
            each other data centre towards which this entry is a representative.
        """
        members = self.members(now)
        own_centre = self.own.data_centre
        local = [m for m in members if m.data_centre == own_centre and m.name != self.own.name]
        remote = {m.data_centre for m in members} - {own_centre}
        for other in sorted(remote):
            if self.own.name in self.representatives(now, own_centre, other):
                names = self.representatives(now, other, own_centre)
                local.extend(m for m in members if m.name in names)
        return tuple(local)

    def representatives(self, now: float, data_centre: str, other: str) -> tuple[str, ...]:
        """Returns the representatives of one data centre towards another one.

        Args:
            now: Current time.
            data_centre: The data centre.
            other: The other one.

        Returns:
            At most two names.
        """
        usable = [
            member.name
            for member in self.members(now)
            if member.data_centre == data_centre
            and (member.name == self.own.name or self._is_presumed_live(now, member))
        ]
        return choose_representatives(usable, other)

    def _is_live(self, now: float, member: Member) -> bool:
        """Tells whether an entry is taken as alive."""
        if member.data_centre == self.own.data_centre:
            return self.is_reachable(now, member.name)
        return self._is_presumed_live(now, member)

    def _is_presumed_live(self, now: float, member: Member) -> bool:
        """Tells whether nothing speaks against an entry; a new one has time to answer."""
        if self.is_reachable(now, member.name):
            return True
        if member.data_centre == self.own.data_centre:
            return now - self._first_seen.get(member.name, now) < self._dead_after
        failed = self._last_failure.get(member.name)
        return failed is None or now - failed >= UNREACHABLE_RETRY_DELAY

    def _remove(self, name: str) -> None:
        """Removes what is known about an entry that left."""
        for known in (self._announced, self._last_contact, self._first_seen, self._last_failure):
            known.pop(name, None)
        self._draining.discard(name)
