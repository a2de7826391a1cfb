"""Instance list of the stand-in platform, served with a lag."""

from __future__ import annotations

from typing import Literal

import msgspec

__all__ = ["InstanceList", "InstanceRow"]


class InstanceRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One instance."""

    name: str
    """Name, unique in the fleet."""

    kind: Literal["engine", "service", "entry"]
    """What runs on it."""

    address: str
    """"IP:port"."""

    data_centre: str
    """Data centre of the instance."""

    region: str
    """Region of the data centre."""

    state: Literal["live", "leaving"] = "live"
    """Whether it is about to stop."""

    role: str = ""
    """Role of an engine, or name of the service."""


class InstanceList:
    """The instance list and its former states."""

    def __init__(self) -> None:
        self._history: list[tuple[float, list[InstanceRow]]] = []

    def set(self, now: float, rows: list[InstanceRow]) -> None:
        """Replaces the list.

        Args:
            now: Time in seconds.
            rows: The new list.
        """
        self._history.append((now, rows))

    def snapshot(self, now: float, lag: float) -> list[InstanceRow]:
        """Finds the list as it was some time ago.

        Args:
            now: Time in seconds.
            lag: Age of the list in seconds.

        Returns:
            The list; the first one ever set if none is that old.
        """
        for since, rows in reversed(self._history):
            if since <= now - lag:
                return rows
        return self._history[0][1] if self._history else []
