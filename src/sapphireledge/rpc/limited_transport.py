"""Buffered transport that limits the memory that one message can use."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from thriftpy2.contrib.aio.transport.buffered import TAsyncBufferedTransport
from thriftpy2.thrift import TType

from sapphireledge.rpc.incomplete_message import IncompleteMessage
from sapphireledge.rpc.message_error import MessageError
from sapphireledge.rpc.rpc_error import RpcError

if TYPE_CHECKING:
    import asyncio

    from sapphireledge.limits import CallerAccount

__all__ = ["LimitedTransport"]

VALUE_OVERHEAD = 16
"""Bytes charged per value in addition to its size, as decoded values take more memory."""

READ_CHUNK_SIZE = 65_536
"""Maximum bytes per read from the stream."""

_ELEMENT_TYPES = frozenset(
    {
        TType.BOOL,
        TType.BYTE,
        TType.DOUBLE,
        TType.I16,
        TType.I32,
        TType.I64,
        TType.STRING,
        TType.STRUCT,
        TType.MAP,
        TType.SET,
        TType.LIST,
    }
)


class LimitedTransport(TAsyncBufferedTransport):
    """Buffered transport over a stream pair that rejects messages over a size limit.

    Each message has a budget in bytes, and a length is checked against it before memory is
    allocated. At most one chunk is read beyond the length checked, and the stream reader limits its
    own buffer.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(None)
        self._reader = reader
        self._writer = writer
        self._buffer = b""
        self._position = 0
        self._message_start = 0
        self._message_limit = 0
        self._received_before = 0
        self._budget = 0
        self._last_byte: int | None = None
        self.bytes_in = 0
        """Number of bytes received."""
        self.bytes_out = 0
        """Number of bytes sent."""
        self.account: CallerAccount | None = None
        """Account of the connection; None if its memory is not limited together with others."""

    async def begin_message(self, limit: int) -> None:
        """Waits for the first byte of a message and sets its budget.

        Args:
            limit: Maximum size of the message in bytes, including VALUE_OVERHEAD per value.

        Raises:
            RpcError: The connection was closed.
        """
        self._received_before = self.bytes_in - (len(self._buffer) - self._position)
        if self._position == len(self._buffer):
            if self.account is not None:
                self.account.try_resize(monotonic(), 0)
                self.account.wait_for_peer(monotonic())
            await self._fill()
        self._message_start = self._position
        self._message_limit = limit
        self.rewind_message()

    async def read(self, sz: int) -> bytes:
        """Reads exactly the given number of bytes of the current message.

        Args:
            sz: Number of bytes; it comes from the message and is therefore untrusted.

        Returns:
            The bytes.

        Raises:
            MessageError: The message is malformed or too large.
            RpcError: The connection was lost.
        """
        if sz < 0 or self._budget < sz + VALUE_OVERHEAD:
            self._raise_too_large(sz)
        while len(self._buffer) - self._position < sz:
            await self._fill()
        return self.read_buffered(sz)

    def read_buffered(self, sz: int) -> bytes:
        """Reads bytes of the current message that have already been received.

        Args:
            sz: Number of bytes; it comes from the message and is therefore untrusted.

        Returns:
            The bytes.

        Raises:
            MessageError: The message is malformed or too large.
            IncompleteMessage: The bytes have not been received yet.
        """
        # Repeats the checks of read() inline, because it runs for every value and function calls
        # would cost more than the checks.
        budget = self._budget - sz - VALUE_OVERHEAD
        start = self._position
        end = start + sz
        if sz < 0 or budget < 0:
            self._raise_too_large(sz)
        if end > len(self._buffer):
            raise IncompleteMessage
        self._budget = budget
        self._position = end
        part = self._buffer[start:end]
        if sz == 1:
            self._last_byte = part[0]
        elif self._last_byte is not None:
            if sz == 4:
                self._check_container(part)
            self._last_byte = None
        return part

    def rewind_message(self) -> None:
        """Rewinds to the start of the current message, none of which may have been discarded."""
        self._position = self._message_start
        self._budget = self._message_limit
        self._last_byte = None

    def _raise_too_large(self, sz: int) -> None:
        """Raises MessageError for a message that exceeds its limit."""
        raise MessageError(f"message exceeds its size limit at a field of {sz} bytes")

    async def send(self, message: bytes) -> None:
        """Sends one encoded message.

        Raises:
            RpcError: The connection was lost, or no memory is left for what the peer has not read.
        """
        self.bytes_out += len(message)
        try:
            self._writer.write(message)
            self._hold_unsent()
            await self._writer.drain()
        except OSError as exc:
            raise RpcError(f"connection lost while sending: {exc}") from exc

    def count_unsent(self) -> int:
        """Returns how many bytes wait to be sent."""
        return self._writer.transport.get_write_buffer_size()

    def is_open(self) -> bool:
        """Whether the connection is usable, as far as known."""
        return not self._writer.is_closing() and not self._reader.at_eof()

    async def open(self) -> None:
        """Does nothing, because the streams are already open."""

    def close(self) -> None:
        """Closes the connection immediately and discards unsent bytes."""
        self._writer.transport.abort()

    def _check_container(self, count: bytes) -> None:
        """Rejects a container with an unknown element type or more elements than the budget allows.

        The protocol reads 4 bytes directly after 1 byte only for the element type and count of a
        list or set (and for maps with 1-byte keys, which the schemas do not have). It loops over
        elements of an unknown type without reading, so a large count would block the process.
        """
        size = int.from_bytes(count, "big", signed=True)
        if self._last_byte not in _ELEMENT_TYPES or not 0 <= size <= self._budget:
            raise MessageError(
                f"container of {size} elements of type {self._last_byte} is malformed"
            )

    async def _fill(self) -> None:
        """Discards the bytes already read and appends the next chunk of the stream."""
        try:
            chunk = await self._reader.read(READ_CHUNK_SIZE)
        except OSError as exc:
            raise RpcError(f"connection lost while receiving: {exc}") from exc
        if not chunk:
            raise RpcError("connection was closed by the other side")
        self.bytes_in += len(chunk)
        self._buffer = self._buffer[self._position :] + chunk
        self._position = 0
        if self.account is not None:
            self.account.on_moved(monotonic(), len(chunk))
            # Values that are already decoded count as well.
            if not self.account.try_resize(monotonic(), self.bytes_in - self._received_before):
                raise MessageError("no memory is left for the message")

    def _hold_unsent(self) -> None:
        """Takes memory for what the peer has not read; meanwhile the connection may be closed."""
        unsent = self.count_unsent()
        if self.account is None or not unsent:
            return
        self.account.wait_for_peer(monotonic())
        if not self.account.try_resize(monotonic(), unsent):
            raise RpcError("no memory is left for replies that are not read")
