"""Log of engine deaths and clearings to be sent to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.membership import ClearingNotice, DeathNotice

    Notice = DeathNotice | ClearingNotice

__all__ = ["NoticeLog"]

MAX_NOTICES = 1_024
"""Maximum number of notices kept; a peer that lags further reads the rest from the platform."""

MAX_NOTICES_PER_HEARTBEAT = 32
"""Maximum number of notices in one heartbeat."""


class NoticeLog:
    """Bounded log of notices, each with a position and the data centres that it is sent to.

    Notices of this entry are sent to all peers. A notice from this data centre is forwarded only to
    other data centres, and one from another data centre only to this one, because the sender
    informs the entries of its own data centre itself.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[int, bool, bool, Notice]] = []
        self.position = 0
        """Position of the newest notice, 0 while there is none."""

    def add(self, notice: Notice, to_local: bool, to_remote: bool) -> None:
        """Adds a notice.

        Args:
            notice: The notice.
            to_local: Whether it is sent to peers in this data centre.
            to_remote: Whether it is sent to peers in other data centres.
        """
        self.position += 1
        self._entries.append((self.position, to_local, to_remote, notice))
        del self._entries[:-MAX_NOTICES]

    def after(self, position: int, remote: bool) -> tuple[tuple[Notice, ...], int]:
        """Returns the oldest notices after a position.

        Args:
            position: Position acknowledged by the peer.
            remote: Whether the peer is in another data centre.

        Returns:
            The notices, and the position that the peer acknowledges by accepting them.
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
