"""The routing table in force and the time since it was last confirmed to be current."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sapphireledge.gateway.wait_for_event import wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.routing_table import RoutingTable

__all__ = ["ConfigView", "seconds_since_boot"]


def seconds_since_boot() -> float:
    """Reads a monotonic clock that keeps running while the machine is suspended.

    Returns:
        Seconds since the machine was booted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ConfigView:
    """Holds the latest routing table; an older version never replaces a newer one."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = None
        """Table in force, None until the first one is loaded."""

        self.on_replaced: Callable[[RoutingTable], None] = lambda table: None
        """Called with each table that comes into force."""

        self._confirmed_at = float("-inf")
        self._replaced_at = float("-inf")
        self._has_table = asyncio.Event()

    def accept(self, table: RoutingTable) -> bool:
        """Replaces the table in force if the given one is newer.

        Args:
            table: Table read from the store.

        Returns:
            Whether the table was replaced.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._replaced_at = seconds_since_boot()
        self._has_table.set()
        self.on_replaced(table)
        return True

    async def wait_for_table(self, timeout: float) -> None:
        """Waits until a table is loaded or the timeout expires.

        Args:
            timeout: Timeout in seconds.
        """
        if self.table is None:
            await wait_for_event(self._has_table, timeout)

    def confirm(self, as_of: float) -> None:
        """Records that the table in force was the latest version at the given time.

        Args:
            as_of: Time in seconds as returned by `seconds_since_boot`.
        """
        self._confirmed_at = max(self._confirmed_at, as_of)

    @property
    def age(self) -> float:
        """Seconds since the table was last confirmed as the latest, infinite if it never was."""
        return seconds_since_boot() - self._confirmed_at

    @property
    def time_in_force(self) -> float:
        """Seconds since the table came into force, infinite without one."""
        return seconds_since_boot() - self._replaced_at
