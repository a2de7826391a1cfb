"""Kept connections to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.gateway.backend_connection import BackendConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT = 0.3
"""Seconds to open a connection: one round trip between regions (60 ms) and a retransmission."""

IDLE_MARGIN = 1.0
"""Seconds before the stated idle limit at which a connection is no longer used.

The limit is stated in whole seconds and counts at the other end.
"""

DEFAULT_IDLE_LIMIT = 4.0
"""Seconds of idleness after which a connection without a stated limit is closed."""

AT_MOST_ONCE_IDLE_LIMIT = 1.0
"""Seconds of idleness up to which a connection carries requests that may run only once.

A backend server can drop an idle connection without notice, and such a request cannot be repeated.
"""

MAX_IDLE_CONNECTIONS = 6
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
        self.connection_limit: Callable[[str], int] = lambda service: 0
        """Connections that a server of a service accepts from all instances, 0 if unknown."""

    async def acquire(self, server: BackendServer, *, at_most_once: bool) -> BackendConnection:
        """Takes an idle connection or opens one.

        Args:
            server: Backend server.
            once: Whether the request may run only once.

        Returns:
            The connection.

        Raises:
            OSError: No connection could be opened; nothing was sent.
        """
        idle_connections = self._idle.get(server.server_id, [])
        now = asyncio.get_running_loop().time()
        while idle_connections:
            conn = idle_connections.pop()
            idle_time = now - conn.idle_since
            limit = DEFAULT_IDLE_LIMIT if conn.idle_limit is None else conn.idle_limit - IDLE_MARGIN
            if conn.is_reusable and idle_time < (
                min(limit, AT_MOST_ONCE_IDLE_LIMIT) if at_most_once else limit
            ):
                return conn
            if at_most_once and conn.is_reusable and idle_time < limit:
                idle_connections.insert(0, conn)
                break
            conn.abort()
        async with asyncio.timeout(CONNECT_TIMEOUT):
            return await BackendConnection.open(server.host, server.port)

    def release(self, server: BackendServer, conn: BackendConnection) -> None:
        """Returns a connection after a complete answer.

        Args:
            server: Backend server.
            conn: Connection; it is closed if it cannot be used again.
        """
        idle_connections = self._idle.setdefault(server.server_id, [])
        if conn.is_reusable and len(idle_connections) < self._max_idle(server.service):
            idle_connections.append(conn)
        else:
            conn.abort()

    def _max_idle(self, service: str) -> int:
        """Largest number of idle connections to one backend server of a service."""
        limit = self.connection_limit(service)
        if not limit:
            return MAX_IDLE_CONNECTIONS
        part = int(limit * IDLE_SHARE / max(1, self._count_instances()))
        return max(1, min(MAX_IDLE_CONNECTIONS, part))

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
