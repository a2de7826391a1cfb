"""Ledger of what the connections of callers make a process hold.

Load pattern: crowds that open connections, send a part of what they announce and stay, and crowds
that ask for answers without reading them. Each connection alone is inside the limits, and together
they take more memory and descriptors than the machine has. The ledger grants memory before it is
used. While it is short, the connections that have made no progress for longest are closed.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from sapphireledge.limits.caller_account import CallerAccount
from sapphireledge.limits.ledger_limits import CONNECTION_BYTES, SMALL_BYTES
from sapphireledge.limits.limit_reason import LimitReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.limits.ledger_limits import LedgerLimits

__all__ = ["CallerLedger"]

SEARCH_INTERVAL = 0.05
"""Seconds between two searches for stalled connections of which the first found none; a search
passes all connections."""


class CallerLedger:
    """Grants memory and places to connections, and decides which one gives way."""

    def __init__(
        self,
        limits: LedgerLimits,
        on_limited: Callable[[LimitReason], None] = lambda reason: None,
    ) -> None:
        """Creates a ledger without connections.

        Args:
            limits: Limits of all connections together.
            on_limited: Called for each connection that is closed and each request refused.
        """
        self.limits = limits
        """Limits of all connections together; may change."""

        self.on_limited = on_limited
        """Called for each connection that is closed or not accepted, and by connections for each
        request that is refused."""

        self._accounts: OrderedDict[CallerAccount, None] = OrderedDict()
        self._extra = 0
        self._large = 0
        self._next_search = 0.0

    @property
    def connections(self) -> int:
        """Number of connections."""
        return len(self._accounts)

    @property
    def held_bytes(self) -> int:
        """Bytes that all connections hold."""
        return len(self._accounts) * CONNECTION_BYTES + self._extra

    def open(self, now: float, evict: Callable[[LimitReason], None]) -> CallerAccount | None:
        """Takes a place for a new connection.

        Args:
            now: Time in seconds.
            evict: Closes the connection and releases what it holds.

        Returns:
            The account of the connection, or None if all others are being served.
        """
        # While answers in progress take more than all memory, closing others does not free enough.
        is_overdrawn = self.is_overdrawn(now)
        while len(self._accounts) >= self.limits.connections or (
            self._shortage(CONNECTION_BYTES) and not is_overdrawn
        ):
            longest = self._longest_wait(now)
            if longest is None:
                self.on_limited(LimitReason.ALL_SERVED)
                return None
            self._evict(longest, LimitReason.TOO_MANY_CONNECTIONS)
        account = CallerAccount(self, now, evict)
        self._accounts[account] = None
        return account

    def try_resize(self, account: CallerAccount, now: float, extra: int) -> bool:
        """Changes what a connection holds beyond its fixed part; see `CallerAccount`.

        Args:
            account: Account of the connection.
            now: Time in seconds.
            extra: New size in bytes.

        Returns:
            Whether there was memory, if need be that of stalled connections.
        """
        more = extra - account.extra
        large = max(0, extra - SMALL_BYTES) - account.large_bytes
        if more > 0 and not self._fits(more, large):
            self._evict_stalled(account, now, more, large)
            if not self._fits(more, large):
                return False
        self._set_extra(account, extra)
        return True

    def resize(self, account: CallerAccount, now: float, extra: int) -> None:
        """Changes what a connection holds, even if that is more than there is memory for.

        Args:
            account: Account of the connection.
            now: Time in seconds.
            extra: New size in bytes.
        """
        if not self.try_resize(account, now, extra):
            self._set_extra(account, extra)

    def is_overdrawn(self, now: float) -> bool:
        """Whether answers in progress take more memory than there is.

        Args:
            now: Time in seconds.
        """
        if not self._fits(0, 0):
            self._evict_stalled(None, now, 0, 0)
        return not self._fits(0, 0)

    def free_answers(self, now: float, size: int) -> None:
        """Closes connections whose peers have stopped reading large answers.

        Args:
            now: Time in seconds.
            size: Bytes that are needed.
        """
        for account in self._stalled(now):
            if account.answer_bytes:
                size -= account.answer_bytes
                self._evict(account, LimitReason.STALLED)
                if size <= 0:
                    return

    def on_progress(self, account: CallerAccount) -> None:
        """Moves a connection to the end of the order in which connections give way."""
        if account in self._accounts:
            self._accounts.move_to_end(account)

    def close(self, account: CallerAccount) -> None:
        """Gives back what a connection holds."""
        if account in self._accounts:
            del self._accounts[account]
            self._extra -= account.extra
            self._large -= account.large_bytes

    def _shortage(self, more: int) -> int:
        """Bytes that are missing for a new holding, 0 if it fits."""
        return max(0, self.held_bytes + more - self.limits.total_bytes)

    def _fits(self, more: int, large: int) -> bool:
        """Whether there is memory for a larger holding."""
        return not self._shortage(more) and self._large + large <= self.limits.large_bytes

    def _set_extra(self, account: CallerAccount, extra: int) -> None:
        """Records what a connection holds beyond its fixed part."""
        large = account.large_bytes
        self._extra += extra - account.extra
        account.extra = extra
        self._large += account.large_bytes - large

    def _longest_wait(self, now: float) -> CallerAccount | None:
        """Finds the connection that gives way to a new one; none whose peer reads an answer."""
        latest = now - self.limits.stall_time
        for account in list(self._accounts):
            if not account.waits_for_peer:
                continue
            if not account.count_unsent():
                return account
            account.observe_unsent(now)
            if account.progress_at <= latest:
                return account
        return None

    def _evict_stalled(
        self, asking: CallerAccount | None, now: float, more: int, large: int
    ) -> None:
        """Closes stalled connections until a holding fits or none is left that helps."""
        if now < self._next_search:
            return
        for account in self._stalled(now):
            if account is not asking and (self._shortage(more) or account.large_bytes):
                self._evict(account, LimitReason.STALLED)
                if self._fits(more, large):
                    return
        self._next_search = now + SEARCH_INTERVAL

    def _stalled(self, now: float) -> list[CallerAccount]:
        """Lists connections whose peers are waited for without progress, the longest wait first."""
        latest = now - self.limits.stall_time
        waiting = []
        for account in self._accounts:
            if account.progress_at > latest:
                break
            if account.waits_for_peer:
                waiting.append(account)
        for account in waiting:
            account.observe_unsent(now)
        return [account for account in waiting if account.progress_at <= latest]

    def _evict(self, account: CallerAccount, reason: LimitReason) -> None:
        """Closes a connection, whose memory is free at once."""
        evict = account.evict
        account.close()
        self.on_limited(reason)
        evict(reason)
