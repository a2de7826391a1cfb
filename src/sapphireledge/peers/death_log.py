"""Engine deaths that peers still have to hear of."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.membership import DeathNotice

__all__ = ["DeathLog"]

MAX_DEATHS = 1_024
"""Deaths kept; a peer that is further behind reads the rest from the platform."""

MAX_PER_HEARTBEAT = 32
"""Deaths in one heartbeat."""


class DeathLog:
    """Bounded list of deaths with positions, and the data centres that each still has to reach.

    Own deaths go to all peers. A death from the own data centre goes on to other ones only, and the
    other way round, as its sender tells its own data centre itself.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[int, bool, bool, DeathNotice]] = []
        self.position = 0
        """Position of the newest death."""

    def add(self, death: DeathNotice, to_local: bool, to_remote: bool) -> None:
        """Adds a death.

        Args:
            death: The death.
            to_local: Whether peers of the own data centre have to hear of it.
            to_remote: Whether peers of other data centres have to hear of it.
        """
        self.position += 1
        self._entries.append((self.position, to_local, to_remote, death))
        del self._entries[:-MAX_DEATHS]

    def after(self, position: int, remote: bool) -> tuple[tuple[DeathNotice, ...], int]:
        """Selects the oldest deaths after a position.

        Args:
            position: Position that the peer has acknowledged.
            remote: Whether the peer belongs to another data centre.

        Returns:
            The deaths, and the position that the peer acknowledges with them.
        """
        if position >= self.position:
            return (), self.position
        pending = [
            (number, death)
            for number, to_local, to_remote, death in self._entries
            if number > position and (to_remote if remote else to_local)
        ]
        chosen = pending[:MAX_PER_HEARTBEAT]
        last = chosen[-1][0] if len(chosen) < len(pending) else self.position
        return tuple(death for _, death in chosen), last
