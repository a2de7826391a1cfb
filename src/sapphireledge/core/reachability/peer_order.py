"""Decides which instances are asked to take a request, and in which order."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sapphireledge.core.reachability.forwarding_peer import ForwardingPeer

__all__ = ["PeerOrder"]

MAX_PEERS = 8
"""Instances that are asked for one request; each of them reaches the servers or refuses at once."""

MAX_LOCAL_PEERS = 2
"""Instances of the same data centre that are asked first; a partition may separate all of them."""

PEER_COOLDOWN = 4.0
"""Seconds for which an instance that refused or did not respond is asked after the others."""


class PeerOrder:
    """Order at random, so that no instance takes all requests of those that are cut off."""

    def __init__(self, name: str, data_centre: str, rng: Random) -> None:
        """Creates the order of an instance that has asked no other.

        Args:
            name: Name of this instance.
            data_centre: Data centre of this instance.
            rng: Source of the order.
        """
        self._name = name
        self._data_centre = data_centre
        self._rng = rng
        self._avoided_until: dict[str, float] = {}

    def choose(self, now: float, peers: Iterable[ForwardingPeer]) -> list[ForwardingPeer]:
        """Chooses instances, a few of this data centre first, avoided ones last.

        Args:
            now: Current time in seconds.
            peers: Known instances.

        Returns:
            The instances in the order in which they are asked.
        """
        others = [peer for peer in peers if peer.name != self._name]
        self._rng.shuffle(others)
        avoided = [peer for peer in others if self._is_avoided(now, peer)]
        sound = [peer for peer in others if not self._is_avoided(now, peer)]
        local = [peer for peer in sound if peer.data_centre == self._data_centre]
        remote = [peer for peer in sound if peer.data_centre != self._data_centre]
        return [*local[:MAX_LOCAL_PEERS], *remote, *avoided][:MAX_PEERS]

    def avoid(self, now: float, peer: ForwardingPeer) -> bool:
        """Prefers other instances for a while.

        Args:
            now: Current time in seconds.
            peer: Instance that refused or did not respond.

        Returns:
            Whether it was not avoided before.
        """
        is_new = not self._is_avoided(now, peer)
        self._avoided_until = {n: at for n, at in self._avoided_until.items() if at > now}
        self._avoided_until[peer.name] = now + PEER_COOLDOWN
        return is_new

    def _is_avoided(self, now: float, peer: ForwardingPeer) -> bool:
        """Whether an instance refused or did not respond a moment ago."""
        return self._avoided_until.get(peer.name, 0.0) > now
