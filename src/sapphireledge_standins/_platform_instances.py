"""Instance list of the platform stand-in, which can be served with a lag."""

from __future__ import annotations

from typing import Literal

import msgspec

__all__ = ["InstanceList", "InstanceRow"]


class InstanceRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One instance in the list."""

    name: str
    """Name, unique within the fleet."""

    kind: Literal["engine", "service", "entry"]
    """Kind of process."""

    address: str
    """Address, IP:port."""

    data_centre: str
    """Data centre of the instance."""

    region: str
    """Region of the data centre."""

    state: Literal["live", "leaving"] = "live"
    """State; leaving instances are about to stop."""

    role: str = ""
    """Role of an engine, or service name of a service."""


class InstanceList:
    """The instance list with its previous versions."""

    def __init__(self) -> None:
        self._history: list[tuple[float, list[InstanceRow]]] = []

    def set(self, now: float, rows: list[InstanceRow]) -> None:
        """Replaces the list.

        Args:
            now: Monotonic time in seconds.
            rows: New list.
        """
        self._history.append((now, rows))

    def snapshot(self, now: float, lag: float) -> list[InstanceRow]:
        """Returns the list as it was `lag` seconds ago.

        Args:
            now: Monotonic time in seconds.
            lag: Age of the list in seconds.

        Returns:
            The list; the first one set if none is that old, empty if none was set.
        """
        for since, rows in reversed(self._history):
            if since <= now - lag:
                return rows
        return self._history[0][1] if self._history else []
