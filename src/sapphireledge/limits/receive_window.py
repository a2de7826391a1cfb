"""Limit on the bytes that the kernel receives ahead on one connection."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

__all__ = ["ReceiveWindow"]

SMALL_BUFFER = 65_536
"""Bytes that the kernel keeps of a connection; by itself it lets them grow to megabytes."""

LARGE_BUFFER = 524_288
"""The same within a large body, of which a round trip of 60 ms would otherwise slow each part."""


class ReceiveWindow:
    """Receive buffer and window of a connection, which are large only within a large body.

    The kernel takes no window back that it has announced, so the buffer is made small again before
    the end of the body. It is set on the accepted socket: that of a listener limits the window
    scale, and no later size would have an effect.
    """

    __slots__ = ("_size", "_transport")

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        """Makes the buffer small.

        Args:
            transport: Transport to the peer.
        """
        self._transport = transport
        self._size = 0
        self.expect(0)

    def expect(self, left: int) -> None:
        """Adapts the buffer to the rest of a body for which there is memory.

        Args:
            left: Bytes of the body that have not arrived.
        """
        size = LARGE_BUFFER if left > 2 * LARGE_BUFFER else SMALL_BUFFER
        if size == self._size:
            return
        self._size = size
        sock = self._transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)
