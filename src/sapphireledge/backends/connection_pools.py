"""Bounded connection pools shared by the clients of one instance."""

from __future__ import annotations

import time

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from sapphireledge.backends._private import ReusableConnection, SingleUseConnection

__all__ = ["ConnectionPools"]

MAX_INVALIDATED_ADDRESSES = 4_096
"""Maximum number of invalidated addresses kept; the oldest is dropped first."""


class ConnectionPools:
    """Bounded connection pools shared by the clients of one instance.

    Streams, short calls and single-use connections have separate pools, so that a burst of streams
    cannot delay a probe or a cancellation. The limit of a pool covers the connections to all
    backend servers; a full pool closes an idle connection to another server to open a new one.

    An open connection can stop responding while new ones work. Calls that cannot tolerate this open
    a new connection, and a call on a keep-alive connection that gets no response invalidates all
    keep-alive connections to that address.
    """

    def __init__(
        self,
        streams: int = 1024,
        calls: int = 256,
        single_use: int = 256,
        connect_timeout: float = 1.0,
    ) -> None:
        """Creates the pools without opening a connection.

        Args:
            streams: Maximum connections for first attempts, and as many again for later ones.
            calls: Maximum keep-alive connections for load reports, cache events and idempotent
                calls.
            single_use: Maximum connections that are closed after one call.
            connect_timeout: Seconds to get a place in a pool and an open connection.
        """
        self.connect_timeout = connect_timeout
        """Seconds to get a place in a pool and an open connection."""

        self._invalidated: dict[str, float] = {}
        keep_alive = type(
            "KeepAliveConnection", (ReusableConnection,), {"invalidated_at": self._invalidated}
        )

        self.streams = self._create_client(streams, keep_alive)
        """Client for first attempts of generations."""

        self.resumes = self._create_client(streams, SingleUseConnection)
        """Client for later attempts of generations; each opens a new connection."""

        self.calls = self._create_client(calls, keep_alive)
        """Client for short calls that may reuse a connection."""

        self.single_use = self._create_client(single_use, SingleUseConnection)
        """Client that opens a new connection for every call."""

    def invalidate(self, address: str) -> None:
        """Prevents reuse of the currently open connections to an address.

        Args:
            address: "host:port" of a backend server.
        """
        self._invalidated.pop(address, None)
        self._invalidated[address] = time.monotonic()
        if len(self._invalidated) > MAX_INVALIDATED_ADDRESSES:
            del self._invalidated[next(iter(self._invalidated))]

    async def close(self) -> None:
        """Closes idle connections now and the others when their calls end."""
        for client in (self.streams, self.resumes, self.calls, self.single_use):
            await client.aclose()

    def _create_client(self, size: int, connection_cls: type) -> HTTPClient:
        """Creates a client with its own pool."""
        connector = TCPConnector(
            {":default": PoolConfig(size=size, max_conn_requests=None)},
            # Each timeout of aiosonic starts a task; `send_request` limits the call without one.
            timeouts=Timeouts(None, None, None, None),
            connection_cls=connection_cls,
        )
        return HTTPClient(connector)
