"""Configuration in force and how recently it was confirmed."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sapphireledge.gateway.is_set_within import is_set_within

if TYPE_CHECKING:
    from sapphireledge.gateway.routing_table import RoutingTable

__all__ = ["ConfigView", "elapsed_time"]


def elapsed_time() -> float:
    """Reads a steady clock that also counts the time in which the machine is suspended.

    Returns:
        Seconds since the machine started.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ConfigView:
    """Holds the newest routing table; an older version never replaces a newer one."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = None
        """Table in force, None before the first one."""

        self._confirmed = float("-inf")
        self._has_table = asyncio.Event()

    def accept(self, table: RoutingTable) -> bool:
        """Puts a table in force if it is newer.

        Args:
            table: Table read from the store.

        Returns:
            Whether it is in force now and was not before.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._has_table.set()
        return True

    async def wait_for_table(self, limit: float) -> None:
        """Waits for the first table.

        Args:
            limit: Longest wait in seconds.
        """
        if self.table is None:
            await is_set_within(self._has_table, limit)

    def confirm(self, moment: float) -> None:
        """Notes that no newer version existed at a moment.

        Args:
            moment: Seconds of `elapsed_time`.
        """
        self._confirmed = max(self._confirmed, moment)

    @property
    def age(self) -> float:
        """Seconds since the table is known to have been the newest, infinite before the first."""
        return elapsed_time() - self._confirmed
