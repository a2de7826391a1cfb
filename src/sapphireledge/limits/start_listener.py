"""Listeners that accept few connections at a time."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable

__all__ = [
    "ACCEPT_BATCH",
    "QUEUE_LENGTH",
    "create_listening_socket",
    "limit_reads",
    "limit_transport_reads",
    "start_listener",
]

QUEUE_LENGTH = 512
"""Length of the accept queue; when it is full, new connections are delayed by seconds."""

ACCEPT_BATCH = 16
"""Connections accepted in one pass of the event loop. Those that have to give way are closed in the
next pass, and of the readiness endpoint they are at most a quarter on any machine of the platform,
so that a probe is read before a crowd displaces it."""


class ServerStarter(Protocol):
    """Starts a server of the event loop on an open socket."""

    def __call__(self, *, sock: socket.socket, backlog: int) -> Awaitable[asyncio.Server]:
        """Starts the server.

        Args:
            sock: Bound socket.
            backlog: Length of the accept queue.

        Returns:
            The server.
        """
        ...


def limit_reads(writer: asyncio.StreamWriter, size: int) -> None:
    """Limits what one read of a connection takes from the kernel, 256 KiB by default.

    The limit of a stream reader stops reading only after all that one read took is in memory. To be
    called before the first await of the connection's handler.

    Args:
        writer: Stream to the peer.
        size: Largest number of bytes.
    """
    limit_transport_reads(writer.transport, size)


def limit_transport_reads(transport: asyncio.BaseTransport, size: int) -> None:
    """Limits what one read of a connection takes from the kernel, 256 KiB by default.

    Args:
        transport: Transport to the peer.
        size: Largest number of bytes.
    """
    # asyncio has no interface for it; test_uncontrolled_callers notices if it has no effect.
    transport.max_size = size  # type: ignore[attr-defined]


def create_listening_socket(host: str, port: int) -> socket.socket:
    """Binds a socket whose connections send without delay.

    Args:
        host: IP address.
        port: TCP port.

    Returns:
        The socket, which listens.

    Raises:
        OSError: The address cannot be used.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.create_server((host, port), family=family, backlog=QUEUE_LENGTH)
    # asyncio sets TCP_NODELAY only on sockets that were created with the protocol named.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


async def start_listener(start: ServerStarter, host: str, port: int) -> asyncio.Server:
    """Starts a server with a long accept queue.

    asyncio accepts as many connections in one pass of the event loop as the queue is long, so the
    queue is made longer once the server has started.

    Args:
        start: Starts the server.
        host: IP address.
        port: TCP port.

    Returns:
        The server.

    Raises:
        OSError: The address cannot be used.
    """
    sock = create_listening_socket(host, port)
    server = await start(sock=sock, backlog=ACCEPT_BATCH)
    sock.listen(QUEUE_LENGTH)
    return server
