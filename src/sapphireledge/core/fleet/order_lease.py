"""Lease for sending orders in one data centre."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sapphireledge.core.fleet.lease_record import LeaseRecord
from sapphireledge.errors import Failure
from sapphireledge.objects import WriteStatus

if TYPE_CHECKING:
    from sapphireledge.objects import StoredObject, WriteResult
    from sapphireledge.settings import FleetSettings

__all__ = ["LeaseWrite", "OrderLease"]

RENEW_FRACTION = 1 / 3
"""Fraction of the lease after which it is renewed; two renewals can fail without losing it."""


@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """A conditional write of the lease object; its result is passed to `on_written`."""

    record: LeaseRecord
    """The lease to write."""

    expect_version: int
    """Version that the object must have for the write to succeed."""

    sent: float
    """Monotonic time in seconds, taken before the write is sent; the lease term starts then."""


class OrderLease:
    """Decides when this instance acquires, renews and loses the lease.

    The holder counts the lease term from before its write was sent. Another instance acquires the
    lease only once the object has stayed unchanged for a full term since that instance read it, by
    its own monotonic clock. So two instances never hold the lease at the same time, regardless of
    their wall clocks.
    """

    def __init__(self, holder: str, cfg: FleetSettings):
        self.fencing_number = 0
        """Version of the write that acquired the lease, 0 if this instance does not hold it."""

        self.current_holder = ""
        """Name of the holder in the last record read or written."""

        self._holder = holder
        self._cfg = cfg
        self._own_record: LeaseRecord | None = None
        self._last_renewal = 0
        self._stored_version = 0
        self._lease_end = float("-inf")
        self._unfenced_orders_after = float("-inf")
        self._renew_at = float("-inf")
        self._unchanged_since: float | None = None
        self._pending_write: LeaseWrite | None = None

    def is_held(self, now: float) -> bool:
        """Whether this instance holds the lease.

        Args:
            now: Monotonic time in seconds.

        Returns:
            True until the lease is lost or its term ends.
        """
        return self._own_record is not None and now < self._lease_end

    def may_send_order(self, now: float, checks_fencing: bool) -> bool:
        """Whether an order may be sent now; must be checked immediately before each order.

        The lease must last at least until the order times out. Where engines ignore the fencing
        number, a new holder also waits until orders of the previous one have arrived or timed out.

        Args:
            now: Monotonic time in seconds.
            checks_fencing: Whether the engine rejects orders with an old fencing number.

        Returns:
            True if the order may be sent.
        """
        if not self.is_held(now + self._cfg.order_timeout):
            return False
        return checks_fencing or now >= self._unfenced_orders_after

    def next_write(self, now: float, nonce: str) -> LeaseWrite | None:
        """Decides whether to write the lease; called after each read.

        Args:
            now: Monotonic time in seconds.
            nonce: Unique text, used if the write acquires the lease.

        Returns:
            The write, or None if none is due.
        """
        if self._own_record is not None and now >= self._lease_end:
            self._drop_lease()
        if self._own_record is not None:
            if now < self._renew_at:
                return None
            # Never reuse a number: a delayed renewal must not be mistaken for the next one, whose
            # lease term ends later.
            self._last_renewal += 1
            record = LeaseRecord(self._holder, self._own_record.nonce, self._last_renewal)
        elif (
            self._unchanged_since is not None
            and now >= self._unchanged_since + self._takeover_delay()
        ):
            record = LeaseRecord(self._holder, nonce)
        else:
            return None
        self._pending_write = LeaseWrite(record, self._stored_version, now)
        return self._pending_write

    def on_read(self, now: float, stored: StoredObject | Failure | None) -> None:
        """Processes a read of the lease object.

        Args:
            now: Monotonic time in seconds, taken after the read.
            stored: The object, None if it does not exist, or the failure of the read.
        """
        if isinstance(stored, Failure):
            return
        version = stored.version if stored is not None else 0
        record = LeaseRecord.decode(stored.value) if stored is not None else None
        self.current_holder = record.holder if record is not None else ""
        pending, self._pending_write = self._pending_write, None
        if record is not None and pending is not None and record == pending.record:
            self._on_write_confirmed(pending, version)
        elif self._own_record is not None and record == self._own_record:
            self._stored_version = version
        elif version != self._stored_version or self._unchanged_since is None:
            self._drop_lease()
            self._stored_version = version
            self._unchanged_since = now

    def on_written(self, now: float, write: LeaseWrite, result: WriteResult) -> bool:
        """Processes the result of a write.

        Args:
            now: Monotonic time in seconds.
            write: The write.
            result: Result of the write.

        Returns:
            Whether the object must be read to find out whether the write took effect.
        """
        if result.status is WriteStatus.WRITTEN:
            self._pending_write = None
            self._on_write_confirmed(write, result.version)
            return False
        if result.status is WriteStatus.UNAVAILABLE:
            self._pending_write = None
            return False
        return True

    def on_fenced(self, fencing_number: int) -> None:
        """Drops the lease after an engine rejected its fencing number as old.

        Args:
            fencing_number: The rejected number; ignored unless it is the current one.
        """
        if fencing_number == self.fencing_number:
            self._drop_lease()

    def _takeover_delay(self) -> float:
        """Seconds for which the object must stay unchanged before the lease may be acquired."""
        return self._cfg.lease if self._stored_version else 0.0

    def _on_write_confirmed(self, write: LeaseWrite, version: int) -> None:
        """Records that a write took effect."""
        if self._own_record is None or self._own_record.nonce != write.record.nonce:
            self.fencing_number = version
            self._unfenced_orders_after = write.sent + self._cfg.lease + self._cfg.order_timeout
        self._own_record = write.record
        self._stored_version = version
        self._lease_end = write.sent + self._cfg.lease
        self._renew_at = write.sent + self._cfg.lease * RENEW_FRACTION
        self.current_holder = self._holder

    def _drop_lease(self) -> None:
        """Records that this instance does not hold the lease."""
        self._own_record = None
        self._unchanged_since = None
        self.fencing_number = 0
        self._lease_end = float("-inf")
