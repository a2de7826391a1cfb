"""Kept connections to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.gateway.backend_connection import BackendConnection

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["ConnectionPool"]

CONNECT_LIMIT = 0.3
"""Seconds to open a connection: one round trip between regions (60 ms) and a retransmission."""

IDLE_MARGIN = 1.0
"""Seconds before the stated idle limit at which a connection is no longer used.

The limit is stated in whole seconds and counts at the other end.
"""

IDLE_DEFAULT = 4.0
"""Seconds of idleness after which a connection without a stated limit is closed."""

FRESH_IDLE = 1.0
"""Seconds of idleness up to which a connection carries requests that may run only once.

A backend server can drop an idle connection without notice, and such a request cannot be repeated.
"""

MAX_IDLE = 6
"""Idle connections kept for one backend server."""


class ConnectionPool:
    """Hands out connections and keeps those that may carry another request."""

    def __init__(self) -> None:
        self._idle: dict[str, list[BackendConnection]] = {}
        self.opened = 0
        """Connections opened since the start."""

    async def take(self, server: BackendServer, *, once: bool) -> BackendConnection:
        """Takes an idle connection or opens one.

        Args:
            server: Backend server.
            once: Whether the request may run only once.

        Returns:
            The connection.

        Raises:
            OSError: No connection could be opened; nothing was sent.
        """
        kept = self._idle.get(server.server_id, [])
        now = asyncio.get_running_loop().time()
        while kept:
            conn = kept.pop()
            idle = now - conn.idle_since
            limit = IDLE_DEFAULT if conn.idle_limit is None else conn.idle_limit - IDLE_MARGIN
            if conn.is_reusable and idle < (min(limit, FRESH_IDLE) if once else limit):
                return conn
            if once and conn.is_reusable and idle < limit:
                kept.insert(0, conn)
                break
            conn.abort()
        self.opened += 1
        async with asyncio.timeout(CONNECT_LIMIT):
            return await BackendConnection.open(server.host, server.port)

    def give_back(self, server: BackendServer, conn: BackendConnection) -> None:
        """Returns a connection after a complete answer.

        Args:
            server: Backend server.
            conn: Connection; it is closed if it cannot be used again.
        """
        kept = self._idle.setdefault(server.server_id, [])
        if conn.is_reusable and len(kept) < MAX_IDLE:
            kept.append(conn)
        else:
            conn.abort()

    def drop(self, server_id: str) -> None:
        """Closes the idle connections of a backend server.

        Args:
            server_id: Backend server that is gone or failed.
        """
        for conn in self._idle.pop(server_id, ()):
            conn.abort()

    def close(self) -> None:
        """Closes every idle connection."""
        for server_id in tuple(self._idle):
            self.drop(server_id)
