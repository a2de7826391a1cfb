"""Engine deaths and clearings that peers still have to hear of."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.membership import ClearingNotice, DeathNotice

    Notice = DeathNotice | ClearingNotice

__all__ = ["NoticeLog"]

MAX_NOTICES = 1_024
"""Notices kept; a peer that is further behind reads the rest from the platform."""

MAX_NOTICES_PER_HEARTBEAT = 32
"""Notices in one heartbeat."""


class NoticeLog:
    """Bounded list of notices with positions, and the data centres that each still has to reach.

    Own notices go to all peers. One from the own data centre goes on to other ones only, and the
    other way round, as its sender tells its own data centre itself.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[int, bool, bool, Notice]] = []
        self.position = 0
        """Position of the newest notice."""

    def add(self, notice: Notice, to_local: bool, to_remote: bool) -> None:
        """Adds a notice.

        Args:
            notice: The notice.
            to_local: Whether peers of the own data centre have to hear of it.
            to_remote: Whether peers of other data centres have to hear of it.
        """
        self.position += 1
        self._entries.append((self.position, to_local, to_remote, notice))
        del self._entries[:-MAX_NOTICES]

    def after(self, position: int, remote: bool) -> tuple[tuple[Notice, ...], int]:
        """Selects the oldest notices after a position.

        Args:
            position: Position that the peer has acknowledged.
            remote: Whether the peer belongs to another data centre.

        Returns:
            The notices, and the position that the peer acknowledges with them.
        """
        if position >= self.position:
            return (), self.position
        pending = [
            (notice_position, notice)
            for notice_position, to_local, to_remote, notice in self._entries
            if notice_position > position and (to_remote if remote else to_local)
        ]
        selected = pending[:MAX_NOTICES_PER_HEARTBEAT]
        last = selected[-1][0] if len(selected) < len(pending) else self.position
        return tuple(notice for _, notice in selected), last
