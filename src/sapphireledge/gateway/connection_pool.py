"""Pool of connections to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.gateway.backend_connection import BackendConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.response_head import ResponseHead

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT = 0.3
"""Seconds allowed for opening a connection: a round trip between regions (60 ms) and one
retransmission."""

IDLE_MARGIN = 1.0
"""Seconds before the announced idle timeout at which a connection is no longer reused.

The timeout is announced in whole seconds and is measured by the backend server.
"""

DEFAULT_IDLE_LIMIT = 4.0
"""Idle seconds after which a connection is no longer reused if the server announced no timeout."""

AT_MOST_ONCE_IDLE_LIMIT = 1.0
"""Idle seconds up to which a connection is reused for a request that may be executed only once.

A backend server can drop an idle connection without notice, and such a request cannot be retried.
"""

MAX_IDLE_CONNECTIONS = 6
"""Largest number of idle connections to one backend server."""

EXPIRY_INTERVAL = 1.0
"""Seconds between two searches for connections that are not reused any more."""

IDLE_SHARE = 0.5
"""Share of a backend server's connection limit that all instances together may keep idle."""


class ConnectionPool:
    """Opens connections to backend servers and keeps reusable ones idle for later requests."""

    def __init__(self, count_instances: Callable[[], int] = lambda: 1) -> None:
        """Creates an empty pool.

        Args:
            count_instances: Returns the number of instances that share a backend server's
                connection limit.
        """
        self._count_instances = count_instances
        self._idle: dict[str, list[BackendConnection]] = {}
        self._next_expiry_at = 0.0
        self.on_response: Callable[[BackendServer, ResponseHead], None] = lambda server, head: None
        """Called with the head of each response to a request of this instance."""

        self.on_connect: Callable[[BackendServer, bool], None] = lambda server, is_open: None
        """Called after each attempt to open a connection."""

        self.connection_limit: Callable[[str], int] = lambda service: 0
        """Returns how many connections each server of the named service accepts from all instances
        together, 0 if unknown."""

    async def acquire(
        self,
        server: BackendServer,
        *,
        at_most_once: bool,
        request_id: str = "",
        checks_body: bool = False,
    ) -> BackendConnection:
        """Reuses an idle connection or opens a new one.

        Args:
            server: Backend server to connect to.
            at_most_once: Whether the request may be executed only once.
            request_id: Id of the request, empty for a call without one. A connection on which a
                late copy of an earlier response could not be told from the response to the request
                is not reused.
            checks_body: Whether the caller checks by the body that a response without an id is the
                one to its call, so that any connection can be reused.

        Returns:
            A connection for one request.

        Raises:
            OSError: No connection could be opened, or not in time; nothing was sent.
        """
        conn = self._take_idle(server.server_id, at_most_once, request_id, checks_body)
        return await self.open(server) if conn is None else conn

    async def open(self, server: BackendServer) -> BackendConnection:
        """Opens a new connection.

        Args:
            server: Backend server to connect to.

        Returns:
            The connection.

        Raises:
            OSError: The connection could not be opened, or not in time; nothing was sent.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                conn = await BackendConnection.open(server.host, server.port)
        except (OSError, TimeoutError):
            self.on_connect(server, False)
            raise
        self.on_connect(server, True)
        conn.on_response = lambda head: self.on_response(server, head)
        return conn

    def _take_idle(
        self, server_id: str, at_most_once: bool, request_id: str, checks_body: bool
    ) -> BackendConnection | None:
        """Takes the idle connection that was used last and fits the request.

        Connections that fit no request any more are closed on the way.
        """
        idle_connections = self._idle.get(server_id, [])
        now = asyncio.get_running_loop().time()
        for index in range(len(idle_connections) - 1, -1, -1):
            conn = idle_connections[index]
            idle_time = now - conn.idle_since
            is_repeated = request_id and conn.last_request_id == request_id
            if is_repeated or not conn.is_reusable or idle_time >= _idle_limit(conn):
                idle_connections.pop(index).abort()
                continue
            if at_most_once and idle_time >= AT_MOST_ONCE_IDLE_LIMIT:
                continue
            # A late copy of a response without an id is noticed, but ends the attempt.
            notices_copies = checks_body or (request_id and not at_most_once)
            if conn.identifies_responses or notices_copies:
                return idle_connections.pop(index)
        return None

    def release(self, server: BackendServer, conn: BackendConnection) -> None:
        """Returns a connection to the pool after a complete response.

        Args:
            server: Backend server of the connection.
            conn: The connection; it is closed if it is not reusable or the pool is full.
        """
        self._close_expired()
        idle_connections = self._idle.setdefault(server.server_id, [])
        if conn.is_reusable and len(idle_connections) < self._compute_max_idle(server.service):
            idle_connections.append(conn)
        else:
            conn.abort()

    def _close_expired(self) -> None:
        """Closes the connections that are not reused any more, also those to servers that are gone.

        A request may end, and return its connection, after its server was dropped.
        """
        now = asyncio.get_running_loop().time()
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL
        for server_id, connections in tuple(self._idle.items()):
            for conn in connections:
                if not conn.is_reusable or now - conn.idle_since >= _idle_limit(conn):
                    conn.abort()
            self._idle[server_id] = [conn for conn in connections if not conn.must_close]
            if not self._idle[server_id]:
                del self._idle[server_id]

    def _compute_max_idle(self, service: str) -> int:
        """Computes how many idle connections to one server of a service this instance may keep."""
        limit = self.connection_limit(service)
        if not limit:
            return MAX_IDLE_CONNECTIONS
        share = int(limit * IDLE_SHARE / max(1, self._count_instances()))
        return max(1, min(MAX_IDLE_CONNECTIONS, share))

    def drop(self, server_id: str) -> None:
        """Closes the idle connections to a backend server.

        Args:
            server_id: Id of a server that was removed or has failed.
        """
        for conn in self._idle.pop(server_id, ()):
            conn.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        for server_id in tuple(self._idle):
            self.drop(server_id)


def _idle_limit(conn: BackendConnection) -> float:
    """Returns how long a connection may be idle and still be reused, in seconds."""
    return DEFAULT_IDLE_LIMIT if conn.idle_timeout is None else conn.idle_timeout - IDLE_MARGIN
