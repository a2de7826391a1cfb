"""Synchronous transport over bytes that have been received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thriftpy2.transport import TTransportBase

if TYPE_CHECKING:
    from sapphireledge.rpc.limited_transport import LimitedTransport

__all__ = ["BufferedView"]


class BufferedView(TTransportBase):
    """Adapter through which thriftpy2's synchronous protocol reads a LimitedTransport's buffer."""

    def __init__(self, transport: LimitedTransport) -> None:
        self.read = transport.read_buffered
        """Reads exactly the given number of buffered bytes."""
