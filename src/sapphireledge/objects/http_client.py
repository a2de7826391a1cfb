"""HTTP clients that use each connection for one request only."""

from __future__ import annotations

import aiosonic
from aiosonic.pools import PoolConfig

__all__ = ["create_http_client"]


def create_http_client(connections: int) -> aiosonic.HTTPClient:
    """Creates a client that opens a new connection for every request.

    aiosonic 1.3 has two faults with reused connections. After a timeout it returns the connection
    to its pool, and the next request receives the late answer of the earlier one. When a reused
    connection breaks after the request was sent, it sends the request again on a new connection.
    One request per connection prevents both.

    Args:
        connections: Most connections at once.

    Returns:
        The client.
    """
    pool = PoolConfig(size=connections, max_conn_requests=0)
    return aiosonic.HTTPClient(aiosonic.TCPConnector(pool_configs={":default": pool}))
