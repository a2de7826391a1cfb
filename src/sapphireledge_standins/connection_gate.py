"""Frozen process and silent connections, as seen from outside."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette.types import ASGIApp, Receive, Scope, Send

__all__ = ["ConnectionGate"]

ADMIN_PREFIX = "/admin/"
"""Requests below this path are always answered."""


class ConnectionGate:
    """ASGI wrapper that holds requests back on a frozen engine or a silent connection."""

    def __init__(self, app: ASGIApp) -> None:
        """Wraps an application."""
        self._app = app
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self.connections: set[tuple[str, int]] = set()
        """Client addresses of all connections that carried a request so far."""

        self._silent: set[tuple[str, int]] = set()

    def set_faults(self, freeze: bool, silence_existing: bool) -> None:
        """Switches the faults.

        Args:
            freeze: Whether nothing is answered until the next switch.
            silence_existing: Whether the connections seen so far are silent from now on.
        """
        if freeze:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()
        if silence_existing:
            self._silent |= self.connections

    async def wait_unfrozen(self) -> None:
        """Waits while the process is frozen."""
        await self._unfrozen.wait()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Passes a request on, holds it back, or leaves it without an answer."""
        if scope["type"] != "http" or scope["path"].startswith(ADMIN_PREFIX):
            await self._app(scope, receive, send)
            return
        client = tuple(scope["client"])
        self.connections.add(client)
        if client in self._silent:
            while (await receive())["type"] != "http.disconnect":
                pass
            return
        await self._unfrozen.wait()
        await self._app(scope, receive, send)
