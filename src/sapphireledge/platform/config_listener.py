"""Applies the stored configuration to the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.gateway import GatewayEvent
from sapphireledge.platform.decode_config import decode_config

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed import StoredEntry
    from sapphireledge.gateway import ConfigView

__all__ = ["CONFIG_KIND", "ConfigListener"]

CONFIG_KIND = "config"
"""Kind of the object that holds the configuration."""

OBJECT_NAME = "main"
"""Name of the object that holds the current configuration."""


class ConfigListener:
    """Implements `KindListener` and `ObjectOrder` for the configuration."""

    def __init__(self, view: ConfigView) -> None:
        self._view = view
        self._stored_version = 0
        self._log = structlog.get_logger()

    def replace_all(self, entries: Sequence[StoredEntry]) -> None:
        """Applies a full listing; see `KindListener.replace_all`."""
        self.apply(entries)

    def apply(self, entries: Sequence[StoredEntry]) -> None:
        """Applies changes; see `KindListener.apply`."""
        for entry in entries:
            if entry.name == OBJECT_NAME and not entry.removed:
                self._apply_entry(entry)

    def confirm(self, as_of: float) -> None:
        """Confirms that the configuration is current; see `KindListener.confirm`.

        A restored store may hold an older configuration than the one in force. The latest one,
        which it has lost, may have withdrawn keys, so nothing is confirmed until it is written
        again.
        """
        table = self._view.table
        if table is None or self._stored_version >= table.version:
            self._view.confirm(as_of)

    def on_store_recovered(self, outage: float) -> None:
        """Does nothing: a newer version replaces the older one at any time."""

    def on_store_restored(self) -> None:
        """Confirms nothing until the configuration has been read again."""
        self._stored_version = 0

    @property
    def newest(self) -> int | None:
        """Version of the configuration in force; see `ObjectOrder.newest`."""
        return None if self._view.table is None else self._view.table.version

    def is_superseded(self, entry: StoredEntry) -> bool:
        """Checks for an older configuration; see `ObjectOrder.is_superseded`."""
        table = self._view.table
        if table is None or entry.name != OBJECT_NAME or entry.removed:
            return False
        version = entry.spec.get("version") if isinstance(entry.spec, dict) else None
        return isinstance(version, int) and version < table.version

    def _apply_entry(self, entry: StoredEntry) -> None:
        """Applies a configuration if it can be decoded and is newer."""
        age = self._view.age
        try:
            table = decode_config(entry.spec)
        except (msgspec.ValidationError, KeyError) as exc:
            self._log.error(GatewayEvent.CONFIG_REJECTED, reason=str(exc))
            return
        self._stored_version = table.version
        if self._view.accept(table):
            self._log.info(
                GatewayEvent.CONFIG_APPLIED,
                version=table.version,
                routes=sum(len(routes) for routes in table.routes.values()),
                keys=len(table.keys),
                idle_timeout_s=table.limits.idle_timeout,
                head_timeout_s=table.limits.head_timeout,
                previous_age_s=round(age, 3) if age < float("inf") else None,
            )
