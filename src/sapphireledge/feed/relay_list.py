"""Decides which instance this one follows as a relay of the store.

Load pattern: instances are replaced all the time, and nothing removes those that are gone from the
directory, so most of the listed relays may not exist. Each attempt to reach one takes a timeout.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed.feed_settings import FeedSettings
    from sapphireledge.feed.peer import Peer

__all__ = ["RelayList"]

MAX_DOUBLINGS = 3
"""Largest number of times that the cooldown of a relay without a reply is doubled."""


class RelayList:
    """Instances that precede this one, with what is known about them."""

    def __init__(self, cfg: FeedSettings) -> None:
        self._cfg = cfg
        self._preceding: tuple[Peer, ...] = ()
        self._avoided_until: dict[str, float] = {}
        self._unanswered: dict[str, int] = {}
        self._search_until: float | None = None

    def __len__(self) -> int:
        return len(self._preceding)

    @property
    def precedence(self) -> int:
        """Number of preceding instances, 0 if none of them answered when it was last tried.

        An instance that is the last one of its data centre must not leave the store to others.
        """
        is_last = all(self._unanswered.get(peer.name) for peer in self._preceding)
        return 0 if is_last else len(self._preceding)

    def replace(self, preceding: Sequence[Peer]) -> None:
        """Sets the preceding instances.

        Args:
            preceding: Instances in order of precedence.
        """
        self._preceding = tuple(preceding)
        names = {peer.name for peer in preceding}
        for state in (self._avoided_until, self._unanswered):
            for name in state.keys() - names:
                del state[name]

    def choose(self, now: float) -> Peer | None:
        """Chooses the relay to try next.

        Those whose last attempts were answered come first, then the order of precedence holds.

        Args:
            now: Event loop time in seconds.

        Returns:
            The relay, or None if this instance is to read the store itself: all have failed
            recently, or the search has taken too long.
        """
        if self._search_until is not None and now >= self._search_until:
            return None
        candidates = [
            peer for peer in self._preceding if self._avoided_until.get(peer.name, 0.0) <= now
        ]
        return min(candidates, key=lambda peer: self._unanswered.get(peer.name, 0), default=None)

    def on_reply(self, peer: Peer) -> None:
        """Records that a relay has replied, also if it does not read the store.

        Args:
            peer: The relay.
        """
        self._unanswered.pop(peer.name, None)

    def on_failure(self, now: float, peer: Peer, *, replied: bool) -> None:
        """Starts the cooldown of a relay, longer each time that it sends no reply.

        Args:
            now: Event loop time in seconds.
            peer: The relay.
            replied: Whether it sent a reply in this attempt.
        """
        doublings = 0
        if replied:
            self.on_reply(peer)
        else:
            doublings = min(self._unanswered.get(peer.name, 0), MAX_DOUBLINGS)
            self._unanswered[peer.name] = self._unanswered.get(peer.name, 0) + 1
        self._avoided_until[peer.name] = now + self._cfg.relay_cooldown * 2**doublings

    def begin_search(self, now: float, *, is_new: bool) -> None:
        """Limits the time until this instance reads the store itself.

        Args:
            now: Event loop time in seconds.
            is_new: Whether a relay that was followed is lost, otherwise a search may be going on.
        """
        if is_new or self._search_until is None:
            self._search_until = now + self._cfg.search_limit

    def end_search(self) -> None:
        """Records that this instance reads the store, or follows a relay."""
        self._search_until = None

    def end_cooldowns(self, lost: Peer | None = None) -> None:
        """Allows relays to be tried again.

        Args:
            lost: Relay that is still avoided, None if there is none.
        """
        for name in tuple(self._avoided_until):
            if lost is None or name != lost.name:
                del self._avoided_until[name]
