"""Simulation of a frozen process and of silent connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette.types import ASGIApp, Receive, Scope, Send

__all__ = ["ConnectionGate"]

ADMIN_PREFIX = "/admin/"
"""Path prefix of requests that are always answered, so that faults can be reset."""


class ConnectionGate:
    """ASGI middleware that blocks requests while frozen and ignores those on silent connections."""

    def __init__(self, app: ASGIApp) -> None:
        """Wraps an application, without faults at first."""
        self._app = app
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self.connections: set[tuple[str, int]] = set()
        """Client addresses of all connections that have carried a request."""

        self._silent: set[tuple[str, int]] = set()

    def set_faults(self, freeze: bool, silence_existing: bool) -> None:
        """Changes the faults.

        Args:
            freeze: Whether requests are blocked until the next call.
            silence_existing: Whether the connections seen so far become silent for good.
        """
        if freeze:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()
        if silence_existing:
            self._silent |= self.connections

    async def wait_unfrozen(self) -> None:
        """Waits until the simulated process is no longer frozen."""
        await self._unfrozen.wait()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forwards a request once unfrozen, or never answers it on a silent connection."""
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
