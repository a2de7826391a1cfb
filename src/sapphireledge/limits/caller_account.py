"""Holdings and progress of one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.limits.ledger_limits import INCLUDED_BYTES, SMALL_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.limits.caller_ledger import CallerLedger
    from sapphireledge.limits.limit_reason import LimitReason

__all__ = ["CallerAccount"]


class CallerAccount:
    """What one connection holds, and when its peer last made progress."""

    __slots__ = (
        "_ledger",
        "_moved",
        "answer_bytes",
        "count_unsent",
        "evict",
        "extra",
        "progress_at",
        "unsent",
        "waits_for_peer",
    )

    def __init__(
        self, ledger: CallerLedger, now: float, evict: Callable[[LimitReason], None]
    ) -> None:
        """Creates the account; `CallerLedger.open` does it."""
        self._ledger: CallerLedger | None = ledger
        self._moved = 0
        self.extra = 0
        """Bytes held beyond the fixed part of each connection."""

        self.answer_bytes = 0
        """Bytes of a complete answer that is being delivered; they count as responses."""

        self.unsent = 0
        """Unsent bytes when they were last counted."""

        self.count_unsent: Callable[[], int] = lambda: 0
        """Returns how many bytes wait to be sent to the peer."""

        self.evict: Callable[[LimitReason], None] = evict
        """Closes the connection and releases what it holds."""

        self.progress_at = now
        """Time of the last progress."""

        self.waits_for_peer = True
        """Whether the connection waits for its peer; it is not closed while a request is served."""

    @property
    def large_bytes(self) -> int:
        """Bytes above the part that each connection may hold of the small reserve."""
        return max(0, self.extra - SMALL_BYTES)

    def try_resize(self, now: float, size: int) -> bool:
        """Changes what the connection holds.

        Args:
            now: Time in seconds.
            size: Bytes of requests and answers.

        Returns:
            Whether there was memory; otherwise nothing changes.
        """
        extra = max(0, size - INCLUDED_BYTES)
        if extra == self.extra or self._ledger is None:
            return True
        return self._ledger.try_resize(self, now, extra)

    def resize(self, now: float, size: int) -> None:
        """Changes what the connection holds, for bytes that are in memory already.

        Args:
            now: Time in seconds.
            size: Bytes of requests and answers.
        """
        extra = max(0, size - INCLUDED_BYTES)
        if extra != self.extra and self._ledger is not None:
            self._ledger.resize(self, now, extra)

    def on_moved(self, now: float, size: int) -> None:
        """Counts bytes that the peer sent or read.

        Args:
            now: Time in seconds.
            size: Number of bytes.
        """
        self._moved += size
        if self._ledger is not None and self._moved >= self._ledger.limits.least_progress:
            self.touch(now)

    def touch(self, now: float) -> None:
        """Records progress: enough bytes, or a step such as a complete request.

        Args:
            now: Time in seconds.
        """
        self._moved = 0
        self.progress_at = now
        if self._ledger is not None:
            self._ledger.on_progress(self)

    def serve(self, now: float) -> None:
        """Marks that the peer waits for this process.

        Args:
            now: Time in seconds.
        """
        self.waits_for_peer = False
        self.touch(now)

    def wait_for_peer(self, now: float) -> None:
        """Marks that this process waits for the peer.

        Args:
            now: Time in seconds.
        """
        self.waits_for_peer = True
        self.unsent = self.count_unsent()
        self.touch(now)

    def observe_unsent(self, now: float) -> None:
        """Counts what the peer has read since the last call as progress.

        Args:
            now: Time in seconds.
        """
        unsent = self.count_unsent()
        moved, self.unsent = self.unsent - unsent, unsent
        if moved > 0:
            self.on_moved(now, moved)

    def close(self) -> None:
        """Gives back all that the connection holds."""
        if self._ledger is not None:
            self._ledger.close(self)
            self._ledger = None
            # The callbacks refer to the connection, which refers to this account.
            self.evict = lambda reason: None
            self.count_unsent = lambda: 0
