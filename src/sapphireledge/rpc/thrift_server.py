"""Thrift server on the running asyncio event loop."""

from __future__ import annotations

import asyncio
import ipaddress
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING

import structlog
from thriftpy2.contrib.aio.processor import TAsyncProcessor
from thriftpy2.thrift import TApplicationException, TMessageType, TProcessor

from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.limits import CallerBudgets, limit_reads, start_listener
from sapphireledge.rpc.connection_ledgers import ConnectionLedgers
from sapphireledge.rpc.incoming_call import IncomingCall
from sapphireledge.rpc.limited_transport import LimitedTransport
from sapphireledge.rpc.message_codec import MessageCodec
from sapphireledge.rpc.message_error import MessageError
from sapphireledge.rpc.rpc_error import RpcError
from sapphireledge.rpc.rpc_limits import RpcLimits
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from sapphireledge.limits import CallerLedger, LimitReason
    from sapphireledge.rpc.connection_handler import ConnectionHandler
    from sapphireledge.settings import Address

__all__ = ["ThriftServer"]

HELLO_METHOD = "hello"
"""Method that authenticates a connection."""

STREAM_LIMIT = 8_192
"""Half of the unread bytes of a connection from which on nothing more is received."""

HELLO_READ_BYTES = 4_096
"""Largest read before a connection is authenticated."""

CALL_READ_BYTES = 16_384
"""Largest read of an authenticated connection."""

WRITE_HIGH_WATER = 16_384
"""Unsent bytes of replies above which no further call of a connection is read."""


class ThriftServer:
    """Serves one Thrift service with one task per connection.

    thriftpy2's own server runs the event loop itself, so this class uses only its processor,
    protocol and buffered transport, on top of asyncio.start_server.
    """

    def __init__(
        self,
        service: Any,
        make_handler: Callable[[str], ConnectionHandler],
        address: Address,
        secret: str,
        limits: RpcLimits | None = None,
        ledgers: ConnectionLedgers | None = None,
    ) -> None:
        """Creates the server; `start` binds its port.

        Args:
            service: Service class of the schema.
            make_handler: Creates the handler of a connection from the IP address of its client.
            address: Address to listen on.
            secret: Secret that clients must present in hello, where the handler checks it. Without
                one, the server binds to loopback addresses only.
            limits: Limits of each connection.
            ledgers: Limits of all connections together; those of a small machine by default.
        """
        self._service = service
        self._make_handler = make_handler
        self._address = address
        self._secret = secret
        self._limits = limits or RpcLimits()
        self._ledgers = ledgers or ConnectionLedgers.of_peers(CallerBudgets(), lambda reason: None)
        self._log = structlog.get_logger()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Bound port, 0 while the server is not running."""
        if self._server is None or not self._server.sockets:
            return 0
        return self._server.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    async def start(self) -> Failure | None:
        """Binds the port and starts to accept connections.

        Returns:
            None, or a Failure if the port cannot be bound or would be exposed without a secret.
        """
        host, port = self._address.host, self._address.port
        if not self._secret and not _is_loopback(host):
            reason = f"port {port} on non-loopback address {host} requires a secret"
            return Failure(ErrorKind.UNAUTHENTICATED, reason)
        try:
            start = partial(asyncio.start_server, self._serve, limit=STREAM_LIMIT)
            self._server = await start_listener(start, host, port)
        except OSError as exc:
            return Failure(ErrorKind.INTERNAL, f"cannot bind {host} port {port}: {exc}")
        return None

    async def stop(self) -> None:
        """Stops accepting connections, cancels the connection tasks and waits for them."""
        if self._server is not None:
            self._server.close()
            self._server = None
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        transport = LimitedTransport(reader, writer)
        task = asyncio.current_task()
        if task is None or self._server is None or self.connections >= self._limits.max_connections:
            transport.close()
            return
        limit_reads(writer, HELLO_READ_BYTES)
        writer.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        if not self._open_account(transport, self._ledgers.strangers):
            transport.close()
            return
        self._tasks.add(task)
        peer = str((writer.get_extra_info("peername") or ("",))[0])
        try:
            await self._serve_calls(transport, writer, self._make_handler(peer))
        except (MessageError, TimeoutError) as exc:
            self._log.warning(LogEvent.PEER_REFUSED, peer=peer, reason=str(exc) or "timed out")
        except RpcError as exc:
            # Clients normally close the connection between two messages.
            self._log.debug(LogEvent.PEER_LOST, peer=peer, reason=str(exc))
        except asyncio.CancelledError:
            # Only stop() cancels. The exception is not raised again, because asyncio.streams logs a
            # cancelled connection task as an error.
            self._log.debug(LogEvent.PEER_LOST, peer=peer, reason="server stopped")
        except Exception as exc:
            self._log.error(LogEvent.INTERNAL_ERROR, peer=peer, reason=repr(exc))
        finally:
            self._tasks.discard(task)
            transport.close()
            if transport.account is not None:
                transport.account.close()

    def _open_account(self, transport: LimitedTransport, ledger: CallerLedger) -> bool:
        """Moves a connection to a ledger; returns whether there was a place."""

        def evict(reason: LimitReason) -> None:
            self._log.debug(LogEvent.PEER_LOST, reason=reason)
            transport.close()

        account = ledger.open(monotonic(), evict)
        if account is None:
            return False
        if transport.account is not None:
            transport.account.close()
        transport.account = account
        account.count_unsent = transport.count_unsent
        return True

    async def _serve_calls(
        self,
        transport: LimitedTransport,
        writer: asyncio.StreamWriter,
        handler: ConnectionHandler,
    ) -> None:
        """Runs the calls of one connection, the first of which must be hello."""
        limits = self._limits
        codec = MessageCodec(transport)
        async with asyncio.timeout(limits.hello_timeout):
            call = await self._read_call(codec, handler, limits.max_hello)
        if call.method != HELLO_METHOD:
            raise MessageError(f"first message was {call.method!r} instead of {HELLO_METHOD}")
        accepted = await self._run_call(codec, call)
        if not accepted:
            return
        if not self._open_account(transport, self._ledgers.clients):
            raise RpcError("all other connections are being served")
        limit_reads(writer, CALL_READ_BYTES)
        while True:
            call = await self._read_call(codec, handler, limits.max_message)
            if transport.account is not None:
                transport.account.serve(monotonic())
            await self._run_call(codec, call)

    async def _read_call(
        self, codec: MessageCodec, handler: ConnectionHandler, limit: int
    ) -> IncomingCall:
        """Reads one call; any exception of the decoder means that the message is malformed."""
        buffered = TProcessor(self._service, handler)
        streaming = TAsyncProcessor(self._service, handler)
        try:
            async with asyncio.timeout(self._limits.idle_timeout) as idle:
                parts = await codec.read(
                    limit,
                    buffered.process_in,
                    lambda protocol: self._read_partial_call(idle, streaming, protocol),
                )
        except (RpcError, TimeoutError):
            raise
        except Exception as exc:
            raise MessageError(f"malformed message: {exc}") from exc
        return IncomingCall(*parts)

    async def _read_partial_call(
        self, idle: asyncio.Timeout, processor: TAsyncProcessor, protocol: Any
    ):
        """Reads a call that was received only in part, within the timeout for one message."""
        idle.reschedule(asyncio.get_running_loop().time() + self._limits.message_timeout)
        return await processor.process_in(protocol)

    async def _run_call(self, codec: MessageCodec, call: IncomingCall) -> bool:
        """Runs one call and sends its reply.

        Returns:
            Whether the method returned a result instead of raising an exception.
        """
        kind, content, succeeded = TMessageType.REPLY, call.result, False
        try:
            if call.run is None:
                raise call.result
            call.result.success = await call.run()
            succeeded = True
        except TApplicationException as exc:
            kind, content = TMessageType.EXCEPTION, exc
        except Exception as exc:
            if not TProcessor.handle_exception(None, exc, call.result):
                self._log.error(LogEvent.INTERNAL_ERROR, call=call.method, reason=repr(exc))
                kind = TMessageType.EXCEPTION
                content = TApplicationException(TApplicationException.INTERNAL_ERROR, "internal")
        async with asyncio.timeout(self._limits.message_timeout):
            await codec.write(call.method, kind, call.sequence, content)
        return succeeded


def _is_loopback(host: str) -> bool:
    """Whether a host is a loopback IP address; host names are not resolved."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
