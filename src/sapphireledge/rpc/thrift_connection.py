"""Client side of one Thrift connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from thriftpy2.protocol.exc import TProtocolException
from thriftpy2.thrift import TApplicationException, TException, TMessageType

from sapphireledge.rpc.limited_transport import LimitedTransport
from sapphireledge.rpc.message_codec import MessageCodec
from sapphireledge.rpc.message_error import MessageError
from sapphireledge.rpc.rpc_error import RpcError

if TYPE_CHECKING:
    from typing import Any

    from sapphireledge.rpc.rpc_limits import RpcLimits

__all__ = ["ThriftConnection"]

MAX_SEQUENCE = 2**31 - 1
"""Maximum sequence number of a message."""


class ThriftConnection:
    """Connection to a server, which carries one call at a time.

    After any failure other than an exception sent by the server the connection is closed, because a
    late reply would be read as the reply to the next call. thriftpy2's own client does not check
    the sequence number of a reply.
    """

    def __init__(self, service: Any, transport: LimitedTransport, limits: RpcLimits) -> None:
        self.transport = transport
        """Transport of the connection."""
        self._service = service
        self._limits = limits
        self._codec = MessageCodec(transport)
        self._sequence = 0

    @classmethod
    async def open(
        cls, service: Any, address: str, limits: RpcLimits, timeout: float
    ) -> ThriftConnection:
        """Connects to a server.

        Args:
            service: Service class of the schema.
            address: Address of the server, "IP:port".
            limits: Limits of the connection.
            timeout: Seconds within which the connection must be established.

        Returns:
            The connection; the first call on it must be hello.

        Raises:
            RpcError: The server cannot be reached.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except (OSError, ValueError, OverflowError) as exc:
            raise RpcError(f"cannot connect to {address}: {str(exc) or 'timed out'}") from exc
        return cls(service, LimitedTransport(reader, writer), limits)

    async def call(self, method: str, *args: Any, timeout: float) -> Any:
        """Calls one method.

        Args:
            method: Name of the method.
            *args: Arguments in schema order.
            timeout: Seconds within which the reply must arrive.

        Returns:
            The result.

        Raises:
            RpcError: The connection was lost, timed out or carried an invalid reply; it is closed.
            TException: The exception declared in the schema, or TApplicationException.
        """
        if not self.transport.is_open():
            raise RpcError("connection is closed")
        self._sequence = self._sequence % MAX_SEQUENCE + 1
        completed = False
        try:
            async with asyncio.timeout(timeout):
                reply = await self._send_call(method, args)
            result = _unwrap(reply)
            completed = True
        except TimeoutError as exc:
            raise RpcError(f"no reply to {method} within {timeout:g} s") from exc
        except TProtocolException as exc:
            raise MessageError(f"malformed reply to {method}: {exc}") from exc
        except TException:
            completed = True
            raise
        except (TypeError, ValueError, RecursionError) as exc:
            raise MessageError(f"malformed reply to {method}: {exc}") from exc
        finally:
            if not completed:
                self.close()
        return result

    def close(self) -> None:
        """Closes the connection."""
        self.transport.close()

    async def _send_call(self, method: str, args: tuple[Any, ...]) -> Any:
        """Sends a call and reads its reply."""
        content = getattr(self._service, f"{method}_args")(*args)
        await self._codec.write(method, TMessageType.CALL, self._sequence, content)

        def read_buffered(protocol: Any) -> Any:
            reply = self._prepare_reply(method, *protocol.read_message_begin())
            protocol.read_struct(reply)
            return reply

        async def read_streaming(protocol: Any) -> Any:
            reply = self._prepare_reply(method, *await protocol.read_message_begin())
            await protocol.read_struct(reply)
            return reply

        return await self._codec.read(self._limits.max_message, read_buffered, read_streaming)

    def _prepare_reply(self, method: str, name: str, kind: int, sequence: int) -> Any:
        """Checks that a reply belongs to the call and returns the struct to decode it into."""
        if sequence != self._sequence or name != method:
            raise MessageError(f"reply to {name} #{sequence} instead of {method} #{self._sequence}")
        if kind == TMessageType.EXCEPTION:
            return TApplicationException()
        if kind != TMessageType.REPLY:
            raise MessageError(f"message of type {kind} instead of a reply to {method}")
        return getattr(self._service, f"{method}_result")()


def _unwrap(result: Any) -> Any:
    """Returns the result in a reply or raises its exception."""
    if isinstance(result, TApplicationException):
        raise result
    for name, value in vars(result).items():
        if name != "success" and value is not None:
            raise value
    success = getattr(result, "success", None)
    if success is None and 0 in result.thrift_spec:
        raise RpcError("reply has no result")
    return success
