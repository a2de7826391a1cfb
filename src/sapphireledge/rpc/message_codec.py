"""Reading and writing of messages on one connection."""

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
    """Reads messages with the safe protocols of thriftpy2 and writes them with the compiled one.

    The compiled protocol is not used for reading: it allocates what a length says before it looks
    for the bytes, and loops over elements of unknown type without a way to stop it. A message that
    has been received completely, as nearly all have, is read by the synchronous Python protocol,
    which takes a fraction of the time of the asyncio one; the others are read by the latter.
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
        """Waits for a message and reads it.

        Args:
            limit: Largest message in bytes, with the charge per value.
            read_buffered: Reads the message from a synchronous protocol.
            read_streaming: Reads the same from an asyncio protocol.

        Returns:
            What the reading function returned.

        Raises:
            RpcError: The message is malformed or too large, or the connection broke.
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
            name: Method of the service.
            kind: Value of TMessageType.
            sequence: Sequence number of the call.
            content: Struct of the arguments or the result, or an exception.

        Raises:
            MessageError: A field cannot be encoded; nothing was sent.
            RpcError: The connection broke.
        """
        out = TCyMemoryBuffer()
        encoder = TCyBinaryProtocol(out)
        try:
            encoder.write_message_begin(name, kind, sequence)
            encoder.write_struct(content)
        except Exception:
            # The exceptions of the encoder show the value, which can be a caller's text.
            raise MessageError(f"a field of {name} cannot be encoded") from None
        await self._transport.send(out.getvalue())
