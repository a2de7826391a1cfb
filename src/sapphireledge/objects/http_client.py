"""HTTP client that uses each connection for a single request."""

from __future__ import annotations

import aiosonic
from aiosonic.pools import PoolConfig

from sapphireledge.limited_http import LimitedConnection

__all__ = ["create_http_client"]


def create_http_client(connections: int) -> aiosonic.HTTPClient:
    """Creates a client that opens a new connection for every request.

    aiosonic 1.3 has two bugs with reused connections. After a timeout it returns the connection to
    its pool, and the next request reads the late response to the previous one. When a reused
    connection breaks after the request was sent, it sends the request again on a new connection.
    One request per connection avoids both.

    Args:
        connections: Maximum number of concurrent connections.

    Returns:
        The client.
    """
    pool = PoolConfig(size=connections, max_conn_requests=0)
    connector = aiosonic.TCPConnector(
        pool_configs={":default": pool}, connection_cls=LimitedConnection
    )
    return aiosonic.HTTPClient(connector)
