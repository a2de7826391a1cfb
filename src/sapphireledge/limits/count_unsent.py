"""Number of bytes that a peer has not received."""

from __future__ import annotations

import fcntl
import sys
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

__all__ = ["count_unsent"]


def count_unsent(transport: asyncio.WriteTransport) -> int:
    """Counts written bytes that the peer has not acknowledged.

    The kernel takes megabytes ahead, and takes more only once a third of them is acknowledged, so
    that the buffer of the transport alone does not show the progress of a slow reader.

    Args:
        transport: Transport to the peer.

    Returns:
        Bytes in the buffers of the transport and of the kernel.
    """
    unsent = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return unsent
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        # Not every kind of socket counts them.
        return unsent
    return unsent + int.from_bytes(queued, sys.byteorder)
