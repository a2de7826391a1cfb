"""Codec for the messages of one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thriftpy2.contrib.aio.protocol.binary import TAsyncBinaryProtocol
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.protocol.binary import TBinaryProtocol
from thriftpy2.transport import TCyMemoryBuffer

from sapphireledge.rpc.buffered_view import BufferedView
from sapphireledge.rpc.incomplete_message import IncompleteMessage
from sapphireledge.rpc.message_error import MessageError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

    from sapphireledge.rpc.limited_transport import LimitedTransport

__all__ = ["MessageCodec"]


class MessageCodec:
    """Decodes messages with thriftpy2's Python protocols and encodes them with the compiled one.

    The compiled protocol is unsafe for decoding: it allocates the length that a message states
    before it checks for the bytes, and its loop over elements of unknown type cannot be stopped.
    Nearly all messages have been received completely when they are decoded; these use the
    synchronous protocol, which takes a fraction of the time of the asyncio protocol. The others use
    the asyncio protocol.
    """

    def __init__(self, transport: LimitedTransport) -> None:
        self._transport = transport
        self._buffered = TBinaryProtocol(BufferedView(transport), strict_decode=True)
        self._streaming = TAsyncBinaryProtocol(transport, strict_decode=True)

    async def read(
        self,
        limit: int,
        read_buffered: Callable[[TBinaryProtocol], Any],
        read_streaming: Callable[[TAsyncBinaryProtocol], Awaitable[Any]],
    ) -> Any:
        """Waits for a message and decodes it.

        Args:
            limit: Maximum size of the message in bytes, including VALUE_OVERHEAD per value.
            read_buffered: Decodes the message from a synchronous protocol.
            read_streaming: Decodes the same message from an asyncio protocol.

        Returns:
            The result of the function that decoded the message.

        Raises:
            RpcError: The message is malformed or too large, or the connection was lost.
        """
        await self._transport.begin_message(limit)
        try:
            return read_buffered(self._buffered)
        except IncompleteMessage:
            self._transport.rewind_message()
            return await read_streaming(self._streaming)

    async def write(self, name: str, kind: int, sequence: int, content: Any) -> None:
        """Encodes and sends one message.

        Args:
            name: Name of the method of the service.
            kind: Message type, a value of TMessageType.
            sequence: Sequence number of the call.
            content: Struct of the arguments or of the result, or an exception.

        Raises:
            MessageError: A field cannot be encoded; nothing was sent.
            RpcError: The connection was lost.
        """
        out = TCyMemoryBuffer()
        encoder = TCyBinaryProtocol(out)
        try:
            encoder.write_message_begin(name, kind, sequence)
            encoder.write_struct(content)
        except Exception:
            # The encoder's exceptions contain the value, which can be a caller's text.
            raise MessageError(f"a field of {name} cannot be encoded") from None
        await self._transport.send(out.getvalue())
