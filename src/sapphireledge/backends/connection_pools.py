"""Bounded connection pools shared by the clients of one instance."""

from __future__ import annotations

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from sapphireledge.backends._private import OneCallConnection, ReusableConnection

__all__ = ["ConnectionPools"]


class ConnectionPools:
    """Bounded connection pools shared by the clients of one instance.

    Streams, short calls and one-call connections have separate pools, so that a flood of streams
    cannot delay a probe or a cancellation. Each pool counts its connections over all backend
    servers and replaces the idle connection of another server when it is full.
    """

    def __init__(
        self,
        streams: int = 1024,
        calls: int = 256,
        one_call: int = 256,
        connect_timeout: float = 1.0,
        acquire_timeout: float = 1.0,
    ) -> None:
        """Creates the pools; no connection is opened yet.

        Args:
            streams: Most connections that carry generations.
            calls: Most kept connections for loads, cancellations, orders and idempotent calls.
            one_call: Most connections that serve a single call.
            connect_timeout: Seconds to establish a connection.
            acquire_timeout: Seconds to wait for a place in a pool.
        """
        self.connect_timeout = connect_timeout
        """Seconds to establish a connection."""

        self.acquire_timeout = acquire_timeout
        """Seconds to wait for a place in a pool."""

        self.streams = self._client(streams, ReusableConnection)
        """Client for generations."""

        self.calls = self._client(calls, ReusableConnection)
        """Client for short calls that may share a connection with earlier ones."""

        self.one_call = self._client(one_call, OneCallConnection)
        """Client that opens a new connection for every call."""

    def timeouts(self, answer: float) -> Timeouts:
        """Builds the time limits of one call.

        Args:
            answer: Seconds from the sent request to the head of the answer.

        Returns:
            Limits in the form of aiosonic.
        """
        whole = self.acquire_timeout + self.connect_timeout + answer
        return Timeouts(self.connect_timeout, answer, self.acquire_timeout, whole)

    async def close(self) -> None:
        """Closes idle connections now and the others when their call ends."""
        for client in (self.streams, self.calls, self.one_call):
            await client.aclose()

    def _client(self, size: int, connection_cls: type) -> HTTPClient:
        """Creates a client with a pool of its own."""
        connector = TCPConnector(
            {":default": PoolConfig(size=size, max_conn_requests=None)},
            timeouts=self.timeouts(30.0),
            connection_cls=connection_cls,
        )
        return HTTPClient(connector)
