"""Kept connections to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.gateway.backend_connection import BackendConnection

if TYPE_CHECKING:
    from collections.abc import Callable

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
"""Most idle connections kept for one backend server."""

IDLE_SHARE = 0.5
"""Share of a backend server's connections that all instances together keep idle."""


class ConnectionPool:
    """Hands out connections and keeps those that may carry another request."""

    def __init__(self, count_instances: Callable[[], int] = lambda: 1) -> None:
        """Creates an empty pool.

        Args:
            count_instances: Number of instances that share the connections of a backend server.
        """
        self._count_instances = count_instances
        self._idle: dict[str, list[BackendConnection]] = {}
        self.limit_of: Callable[[str], int] = lambda service: 0
        """Connections that a server of a service accepts from all instances, 0 if unknown."""

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
        async with asyncio.timeout(CONNECT_LIMIT):
            return await BackendConnection.open(server.host, server.port)

    def give_back(self, server: BackendServer, conn: BackendConnection) -> None:
        """Returns a connection after a complete answer.

        Args:
            server: Backend server.
            conn: Connection; it is closed if it cannot be used again.
        """
        kept = self._idle.setdefault(server.server_id, [])
        if conn.is_reusable and len(kept) < self._idle_cap(server.service):
            kept.append(conn)
        else:
            conn.abort()

    def _idle_cap(self, service: str) -> int:
        """Largest number of idle connections to one backend server of a service."""
        limit = self.limit_of(service)
        if not limit:
            return MAX_IDLE
        part = int(limit * IDLE_SHARE / max(1, self._count_instances()))
        return max(1, min(MAX_IDLE, part))

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
