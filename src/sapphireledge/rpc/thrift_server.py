"""Thrift server on the running asyncio loop."""

from __future__ import annotations

import asyncio
import ipaddress
from typing import TYPE_CHECKING

import structlog
from thriftpy2.contrib.aio.processor import TAsyncProcessor
from thriftpy2.contrib.aio.protocol.binary import TAsyncBinaryProtocol
from thriftpy2.thrift import TApplicationException

from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.rpc.limited_transport import LimitedTransport
from sapphireledge.rpc.message_error import MessageError
from sapphireledge.rpc.rpc_error import RpcError
from sapphireledge.rpc.rpc_limits import RpcLimits
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from sapphireledge.rpc.connection_handler import ConnectionHandler
    from sapphireledge.settings import Address

__all__ = ["ThriftServer"]

HELLO = "hello"
"""Method that authenticates a connection."""


class ThriftServer:
    """Serves one Thrift service; one task per connection.

    thriftpy2's own server runs the event loop itself, so only its processor, protocol and buffered
    transport are used here, on asyncio.start_server.
    """

    def __init__(
        self,
        service: Any,
        make_handler: Callable[[str], ConnectionHandler],
        address: Address,
        secret: str,
        limits: RpcLimits | None = None,
    ) -> None:
        """Prepares the server.

        Args:
            service: Service class of the schema.
            make_handler: Makes the handler of one connection from the caller's address.
            address: Where to listen.
            secret: Secret that hello must present; checked by the handler.
            limits: Limits of each connection.
        """
        self._service = service
        self._make_handler = make_handler
        self._address = address
        self._secret = secret
        self._limits = limits or RpcLimits()
        self._log = structlog.get_logger()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Bound port; 0 while the server is not running."""
        if self._server is None or not self._server.sockets:
            return 0
        return self._server.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    async def start(self) -> Failure | None:
        """Binds the port and accepts connections.

        Returns:
            None, or a failure if the port cannot be bound or would be open without a secret.
        """
        host, port = self._address.host, self._address.port
        if not self._secret and not _is_loopback(host):
            reason = f"port {port} on {host} is outside loopback and needs a secret"
            return Failure(ErrorKind.UNAUTHENTICATED, reason)
        try:
            self._server = await asyncio.start_server(self._serve, host, port, backlog=1_024)
        except OSError as exc:
            return Failure(ErrorKind.INTERNAL, f"cannot bind {host} port {port}: {exc}")
        return None

    async def stop(self) -> None:
        """Stops accepting, ends the connections and waits for their tasks."""
        if self._server is not None:
            self._server.close()
            self._server = None
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection from its hello to its end."""
        transport = LimitedTransport(reader, writer)
        task = asyncio.current_task()
        if task is None or self._server is None or self.connections >= self._limits.max_connections:
            transport.close()
            return
        self._tasks.add(task)
        peer = str((writer.get_extra_info("peername") or ("",))[0])
        try:
            await self._converse(transport, self._make_handler(peer))
        except (MessageError, TimeoutError) as exc:
            self._log.warning(LogEvent.PEER_REFUSED, peer=peer, reason=str(exc) or "timed out")
        except RpcError as exc:
            # A connection that ends between two messages is the normal end.
            self._log.debug(LogEvent.PEER_LOST, peer=peer, reason=str(exc))
        except asyncio.CancelledError:
            # Only stop() cancels; asyncio.streams logs a cancelled connection task as an error.
            pass
        except Exception as exc:
            self._log.error(LogEvent.INTERNAL_ERROR, peer=peer, reason=repr(exc))
        finally:
            self._tasks.discard(task)
            transport.close()

    async def _converse(self, transport: LimitedTransport, handler: ConnectionHandler) -> None:
        """Answers the calls of one connection, the hello first."""
        limits = self._limits
        processor = TAsyncProcessor(self._service, handler)
        protocol = TAsyncBinaryProtocol(transport, strict_decode=True)
        async with asyncio.timeout(limits.hello_timeout):
            await transport.begin_message(limits.max_hello)
            accepted = await self._process(processor, protocol, only=HELLO)
        while accepted:
            async with asyncio.timeout(limits.idle_timeout):
                await transport.begin_message(limits.max_message)
            await self._process(processor, protocol)

    async def _process(
        self, processor: TAsyncProcessor, protocol: TAsyncBinaryProtocol, only: str | None = None
    ) -> bool:
        """Reads one call, runs it and sends the reply.

        Args:
            processor: Processor of the connection.
            protocol: Protocol of the connection.
            only: The one method permitted, None for all.

        Returns:
            Whether the method returned a result.
        """
        api, sequence, result, call = await self._read_call(processor, protocol)
        if only is not None and api != only:
            raise MessageError(f"{api!r} instead of {only} as the first message")
        if call is None:
            await processor.send_exception(protocol, api, result, sequence)
            return False
        succeeded = False
        try:
            result.success = await call()
            succeeded = True
        except Exception as exc:
            if not processor.handle_exception(exc, result):
                self._log.error(LogEvent.INTERNAL_ERROR, call=api, reason=repr(exc))
                fault = TApplicationException(TApplicationException.INTERNAL_ERROR, "internal")
                await processor.send_exception(protocol, api, fault, sequence)
                return False
        async with asyncio.timeout(self._limits.message_timeout):
            await processor.send_result(protocol, api, result, sequence)
        return succeeded

    async def _read_call(self, processor: TAsyncProcessor, protocol: TAsyncBinaryProtocol) -> Any:
        """Reads one call; whatever the decoder raises is the fault of the message."""
        try:
            async with asyncio.timeout(self._limits.message_timeout):
                return await processor.process_in(protocol)
        except (RpcError, TimeoutError):
            raise
        except Exception as exc:
            raise MessageError(f"malformed message: {exc}") from exc


def _is_loopback(host: str) -> bool:
    """Tells whether an IP number is reachable from this host only."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
