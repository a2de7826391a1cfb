"""Bounded connection pools shared by the clients of one instance."""

from __future__ import annotations

import time

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from sapphireledge.backends._private import ReusableConnection, SingleUseConnection

__all__ = ["ConnectionPools"]

MAX_INVALIDATED_ADDRESSES = 4_096
"""Addresses whose invalidation is remembered; the oldest is dropped first."""


class ConnectionPools:
    """Bounded connection pools shared by the clients of one instance.

    Streams, short calls and one-call connections have separate pools, so that a flood of streams
    cannot delay a probe or a cancellation. Each pool counts its connections over all backend
    servers and replaces the idle connection of another server when it is full.

    An open connection can go silent for ever while new ones work. What must not meet such a
    connection opens a new one; when a call on a kept connection gets no answer, all kept
    connections to that address are invalidated.
    """

    def __init__(
        self,
        streams: int = 1024,
        calls: int = 256,
        single_use: int = 256,
        connect_timeout: float = 1.0,
    ) -> None:
        """Creates the pools; no connection is opened yet.

        Args:
            streams: Most connections that carry first attempts, and as many for later ones.
            calls: Most kept connections for load reports, cache events and idempotent calls.
            single_use: Most connections that serve a single call.
            connect_timeout: Seconds for a place in a pool and a connection.
        """
        self.connect_timeout = connect_timeout
        """Seconds for a place in a pool and a connection."""

        self._invalidated: dict[str, float] = {}
        keep_alive = type(
            "KeepAliveConnection", (ReusableConnection,), {"invalidated_at": self._invalidated}
        )

        self.streams = self._create_client(streams, keep_alive)
        """Client for first attempts of generations."""

        self.resumes = self._create_client(streams, SingleUseConnection)
        """Client for later attempts: each opens a new connection."""

        self.calls = self._create_client(calls, keep_alive)
        """Client for short calls that may share a connection with earlier ones."""

        self.single_use = self._create_client(single_use, SingleUseConnection)
        """Client that opens a new connection for every call."""

    def invalidate(self, address: str) -> None:
        """Prevents reuse of the connections to an address that are open now.

        Args:
            address: "host:port" of a backend server.
        """
        self._invalidated.pop(address, None)
        self._invalidated[address] = time.monotonic()
        if len(self._invalidated) > MAX_INVALIDATED_ADDRESSES:
            del self._invalidated[next(iter(self._invalidated))]

    async def close(self) -> None:
        """Closes idle connections now and the others when their call ends."""
        for client in (self.streams, self.resumes, self.calls, self.single_use):
            await client.aclose()

    def _create_client(self, size: int, connection_cls: type) -> HTTPClient:
        """Creates a client with a pool of its own."""
        connector = TCPConnector(
            {":default": PoolConfig(size=size, max_conn_requests=None)},
            # Each limit of aiosonic starts a task; `send_request` limits the call without one.
            timeouts=Timeouts(None, None, None, None),
            connection_cls=connection_cls,
        )
        return HTTPClient(connector)
