"""Applies the operator's orders to roll out a version."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.gateway import GatewayEvent, seconds_since_boot
from sapphireledge.platform.decode_rollout import decode_rollout

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed import StoredEntry
    from sapphireledge.gateway import RolloutGuard

__all__ = ["RolloutListener"]


class RolloutListener:
    """Implements `KindListener` for orders.

    An order that cannot be decoded counts as none, and affects no other.
    """

    def __init__(self, rollouts: RolloutGuard) -> None:
        """Creates the listener.

        Args:
            rollouts: Receiver of the orders.
        """
        self._rollouts = rollouts
        self._names: set[str] = set()
        self._log = structlog.get_logger()

    def replace_all(self, entries: Sequence[StoredEntry]) -> None:
        """Applies a full listing; see `KindListener.replace_all`."""
        for name in self._names - {entry.name for entry in entries}:
            self._remove(name)
        self.apply(entries)

    def apply(self, entries: Sequence[StoredEntry]) -> None:
        """Applies changes; see `KindListener.apply`."""
        for entry in entries:
            if entry.removed:
                self._remove(entry.name)
            else:
                self._update(entry)

    def confirm(self, as_of: float) -> None:
        """Passes on how recent the orders are."""
        self._rollouts.on_orders_confirmed(to_loop_time(as_of))

    def on_store_recovered(self, outage: float) -> None:
        """Does nothing: orders do not expire in the store."""

    def on_store_restored(self) -> None:
        """Accepts lower revisions from now on."""
        self._rollouts.on_store_restored()

    def _update(self, entry: StoredEntry) -> None:
        """Takes in an order."""
        self._names.add(entry.name)
        record = entry.record
        try:
            if record is None:
                raise ValueError("the order has no versions")
            stored = decode_rollout(
                entry.name, entry.spec, record.status, record.revision, record.created
            )
        except (msgspec.ValidationError, ValueError, RecursionError) as exc:
            self._log.warning(
                GatewayEvent.ROLLOUT_UNREADABLE, service=entry.name, part="order", reason=str(exc)
            )
            self._rollouts.on_order_removed(entry.name)
            return
        self._rollouts.on_order(stored)

    def _remove(self, name: str) -> None:
        """Takes in that an order is gone."""
        self._names.discard(name)
        self._rollouts.on_order_removed(name)


def to_loop_time(as_of: float) -> float:
    """Converts a time on the `seconds_since_boot` clock.

    Args:
        as_of: Time on that clock.

    Returns:
        Event loop time in seconds.
    """
    return asyncio.get_running_loop().time() - (seconds_since_boot() - as_of)
