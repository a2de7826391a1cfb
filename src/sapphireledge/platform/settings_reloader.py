"""Reloads the settings file while the process runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.gateway import GatewayEvent
from sapphireledge.platform.node_settings import load_node_settings

if TYPE_CHECKING:
    from pathlib import Path

    from sapphireledge.gateway import Gateway
    from sapphireledge.platform.node_settings import NodeSettings

__all__ = ["SettingsReloader"]

CHECK_INTERVAL = 2.0
"""Seconds between reads of the file, which may also change without a signal."""


class SettingsReloader:
    """Applies changed timeouts and limits; a changed address needs a restart."""

    def __init__(self, path: Path, cfg: NodeSettings, gateway: Gateway) -> None:
        """Creates the reloader.

        Args:
            path: Settings file.
            cfg: Current settings.
            gateway: Gateway to reconfigure.
        """
        self._path = path
        self._cfg = cfg
        self._gateway = gateway
        self._last_error = ""
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Reloads the file periodically until the task is cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            self.reload()

    def reload(self) -> None:
        """Reloads the file; an invalid file is logged and changes nothing."""
        try:
            cfg = load_node_settings(self._path)
        except (OSError, ValueError, msgspec.MsgspecError) as exc:
            if self._last_error != str(exc):
                self._last_error = str(exc)
                self._log.error(GatewayEvent.SETTINGS_REJECTED, reason=self._last_error)
            return
        self._last_error = ""
        if cfg == self._cfg:
            return
        self._cfg = cfg
        self._gateway.reconfigure(cfg.gateway)
        self._log.info(
            GatewayEvent.SETTINGS_RELOADED,
            key_trust_s=cfg.gateway.max_config_age,
            stop_limit_s=cfg.gateway.stop_limit,
        )
