"""Stream reader that knows whether received bytes have not been read."""

from __future__ import annotations

import asyncio

__all__ = ["UnreadReader", "open_unread_connection"]


class UnreadReader(asyncio.StreamReader):
    """Stream reader that counts the bytes received and not yet read."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self.unread = 0
        """Number of bytes received and not yet read."""

    def feed_data(self, data: bytes) -> None:
        """Adds received bytes; called by the transport."""
        self.unread += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Reads bytes; see `asyncio.StreamReader.read`."""
        data = await super().read(n)
        self.unread -= len(data)
        return data


async def open_unread_connection(host: str, port: int) -> tuple[UnreadReader, asyncio.StreamWriter]:
    """Opens a connection like `asyncio.open_connection`.

    Args:
        host: IP address.
        port: TCP port.

    Returns:
        Reader and writer of the connection.

    Raises:
        OSError: The connection could not be opened.
    """
    loop = asyncio.get_running_loop()
    reader = UnreadReader(loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
