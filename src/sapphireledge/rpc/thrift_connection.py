"""Client side of one Thrift connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from thriftpy2.contrib.aio.client import TAsyncClient
from thriftpy2.contrib.aio.protocol.binary import TAsyncBinaryProtocol
from thriftpy2.protocol.exc import TProtocolException
from thriftpy2.thrift import TApplicationException, TException, TMessageType

from sapphireledge.rpc.limited_transport import LimitedTransport
from sapphireledge.rpc.message_error import MessageError
from sapphireledge.rpc.rpc_error import RpcError

if TYPE_CHECKING:
    from typing import Any

    from sapphireledge.rpc.rpc_limits import RpcLimits

__all__ = ["ThriftConnection"]

MAX_SEQUENCE = 2**31 - 1
"""Largest sequence number of a message."""


class ThriftConnection(TAsyncClient):
    """One connection to a server; carries one call at a time.

    After any failure other than an exception of the schema the connection is closed, because a
    reply could still arrive and would be read as the reply of the next call.
    """

    def __init__(self, service: Any, transport: LimitedTransport, limits: RpcLimits) -> None:
        self.transport = transport
        """Transport of the connection."""
        self._limits = limits
        super().__init__(service, TAsyncBinaryProtocol(transport, strict_decode=True))

    @classmethod
    async def open(
        cls, service: Any, address: str, limits: RpcLimits, timeout: float
    ) -> ThriftConnection:
        """Connects to a server.

        Args:
            service: Service class of the schema.
            address: "IP:port".
            limits: Limits of the connection.
            timeout: Seconds until the connection must be established.

        Returns:
            The connection; the caller says hello on it.

        Raises:
            RpcError: The server cannot be reached.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except (OSError, ValueError) as exc:
            raise RpcError(f"cannot connect to {address}: {str(exc) or 'timed out'}") from exc
        return cls(service, LimitedTransport(reader, writer), limits)

    async def call(self, method: str, *args: Any, timeout: float) -> Any:
        """Calls one method.

        Args:
            method: Name of the method.
            *args: Arguments in the order of the schema.
            timeout: Seconds until the reply must have arrived.

        Returns:
            The result.

        Raises:
            RpcError: The connection broke, timed out or carried an invalid reply; it is closed.
            TException: The exception that the schema declares, or TApplicationException.
        """
        if not self.transport.is_open():
            raise RpcError("connection is closed")
        self._seqid = self._seqid % MAX_SEQUENCE + 1
        completed = False
        try:
            async with asyncio.timeout(timeout):
                result = await self._req(method, *args)
            completed = True
        except TimeoutError as exc:
            raise RpcError(f"no reply to {method} within {timeout:g} s") from exc
        except TProtocolException as exc:
            raise MessageError(f"malformed reply to {method}: {exc}") from exc
        except TException:
            completed = True
            raise
        except (TypeError, ValueError, RecursionError) as exc:
            raise MessageError(f"malformed message of {method}: {exc}") from exc
        finally:
            if not completed:
                self.close()
        return result

    async def _recv(self, _api: str) -> Any:
        """Reads the reply and checks that it belongs to the call."""
        await self.transport.begin_message(self._limits.max_message)
        name, kind, sequence = await self._iprot.read_message_begin()
        if sequence != self._seqid or name != _api:
            raise RpcError(f"reply to {name} {sequence} instead of {_api} {self._seqid}")
        if kind == TMessageType.EXCEPTION:
            exc = TApplicationException()
            await self._iprot.read_struct(exc)
            raise exc
        if kind != TMessageType.REPLY:
            raise RpcError(f"message of type {kind} instead of a reply to {_api}")
        result = getattr(self._service, f"{_api}_result")()
        await self._iprot.read_struct(result)
        return _unwrap(result)


def _unwrap(result: Any) -> Any:
    """Returns the result of a call or raises its declared exception."""
    for name, value in vars(result).items():
        if name != "success" and value is not None:
            raise value
    success = getattr(result, "success", None)
    if success is None and 0 in result.thrift_spec:
        raise RpcError("reply without a result")
    return success
