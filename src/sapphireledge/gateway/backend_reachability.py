"""Finds out whether this instance is cut off from all backend servers."""

from __future__ import annotations

import asyncio
from random import Random
from time import monotonic
from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.reachability import FailureWindow, ProbeSelection
from sapphireledge.gateway.backend_connection import BackendConnection
from sapphireledge.gateway.gateway_event import GatewayEvent

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_registry import BackendRegistry
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["BackendReachability"]

PROBE_TIMEOUT = 0.6
"""Seconds for which a probe waits for its connection. Longer than for a request, so that a slow
event loop is not taken for a partition."""

PROBE_INTERVAL = 0.5
"""Seconds between two rounds of probes of an instance that is cut off."""

SUSPICION_PAUSE = 1.0
"""Seconds after a probe that reached a server before others are probed again."""


class BackendReachability:
    """Watches attempts to connect to backend servers, and probes others if they fail.

    A partition may separate an instance from every backend server while its callers, the store and
    the other instances still reach it. Single servers and whole services fail as well; only when
    servers of each service cannot be reached, the fault is on the side of this instance.
    """

    def __init__(self, registry: BackendRegistry) -> None:
        """Creates the state of an instance that reaches its servers.

        Args:
            registry: Known backend servers.
        """
        self.is_cut_off = False
        """Whether no backend server can be reached."""

        self._registry = registry
        self._failures = FailureWindow()
        self._probing: asyncio.Task[None] | None = None
        self._selection = ProbeSelection(Random())
        self._log = structlog.get_logger()

    def on_connect(self, server: BackendServer, *, is_open: bool) -> None:
        """Records an attempt to open a connection.

        Args:
            server: The backend server.
            is_open: Whether the connection was opened.
        """
        if is_open:
            self._failures.clear()
        else:
            self.on_failure(server)

    def on_failure(self, server: BackendServer) -> None:
        """Records that a server could not be reached, or has not responded.

        Args:
            server: The backend server.
        """
        is_suspected = self._failures.on_failure(monotonic(), server.server_id)
        if is_suspected and self._probing is None:
            self._probing = asyncio.create_task(self._probe_until_reachable())

    async def reaches_another(self, server: BackendServer) -> bool:
        """Finds out whether this instance reaches other servers than one that has failed.

        Args:
            server: The server that has failed.

        Returns:
            Whether it reaches one, or knows too few others to tell.
        """
        if self.is_cut_off:
            return False
        others = self._selection.draw_witnesses(self._list_services(server.server_id))
        return not others or await _reaches_any(others)

    async def _probe_until_reachable(self) -> None:
        """Probes servers until one can be reached."""
        started = monotonic()
        try:
            while servers := self._selection.draw_probes(self._list_services()):
                if await _reaches_any(servers):
                    break
                if not self.is_cut_off:
                    self.is_cut_off = True
                    self._log.warning(
                        GatewayEvent.BACKENDS_UNREACHABLE, probed=[s.server_id for s in servers]
                    )
                await asyncio.sleep(PROBE_INTERVAL)
            if self.is_cut_off:
                away = round(monotonic() - started, 3)
                self._log.warning(GatewayEvent.BACKENDS_REACHABLE, away_s=away)
            self.is_cut_off = False
            await asyncio.sleep(SUSPICION_PAUSE)
        finally:
            self.is_cut_off = False
            self._failures.clear()
            self._probing = None

    def _list_services(self, excluded: str = "") -> list[list[BackendServer]]:
        """Lists the servers of each service, without one of them."""
        registry = self._registry
        return [
            [server for server in registry.list_servers(name) if server.server_id != excluded]
            for name in registry.services()
        ]


async def _reaches_any(servers: list[BackendServer]) -> bool:
    """Whether a connection to one of the servers can be opened."""
    probes = {asyncio.create_task(_can_connect(server)) for server in servers}
    try:
        for probe in asyncio.as_completed(probes):
            if await probe:
                return True
        return False
    finally:
        for task in probes:
            task.cancel()


async def _can_connect(server: BackendServer) -> bool:
    """Whether a connection to a server can be opened in time."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            conn = await BackendConnection.open(server.host, server.port)
    except (OSError, TimeoutError):
        return False
    conn.abort()
    return True
