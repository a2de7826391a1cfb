"""HTTP connection of a caller."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import h11

from sapphireledge.gateway.malformed_request import MalformedRequest
from sapphireledge.limits import BufferBudget, BufferShare, TimeSlice

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from sapphireledge.gateway.caller_limits import CallerLimits
    from sapphireledge.gateway.caller_request import CallerRequest
    from sapphireledge.gateway.dialect import Dialect

__all__ = ["CallerConnection"]

MAX_UNPARSED_BYTES = 65_536
"""Unparsed bytes of one caller from which on the gateway stops receiving from it."""

MAX_TOTAL_BODY_BYTES = 16_777_216
"""Largest sum of the request bodies that are being read or forwarded, an eighth of the smallest
machine's memory."""

RETRY_AFTER = 1.0
"""Seconds after which a request for whose body no memory was left may be sent again."""

WRITE_HIGH_WATER = 65_536
"""Unsent bytes to a caller above which the gateway stops reading from the backend server."""

KEEPALIVE_IDLE = 5
"""Idle seconds before TCP keep-alive probes are sent to detect a vanished caller."""

HOP_BY_HOP_HEADERS = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"upgrade", b"trailer"}
)
"""Headers that apply to one connection only; responses to callers get their own framing."""


_BODY_BUDGET = BufferBudget(MAX_TOTAL_BODY_BYTES)

_receive_buffer = bytearray(MAX_UNPARSED_BYTES)
"""Shared by all connections, as it is filled and emptied within one callback of the transport."""


class CallerConnection(asyncio.BufferedProtocol):
    """Reads requests one after another and writes their responses.

    One task per connection runs `handle` for each request. It is cancelled as soon as the caller
    closes its side, so that no backend server works for a caller that has disconnected.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        dialect: Dialect,
        handle: Callable[[CallerConnection, CallerRequest], Awaitable[None]],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._limits = limits
        self._dialect = dialect
        self._handle = handle
        self._is_stopping = is_stopping
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits().max_head_bytes)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._received = bytearray()
        self._body_share = BufferShare(_BODY_BUDGET)
        self._slice = TimeSlice()
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._disconnected = False
        self.is_aborted = False
        """Whether the gateway aborted the connection before the response was complete."""

        self.is_busy = False
        """Whether a request has been read and its response is not complete."""

        self.response_started = False
        """Whether the head of the response has been sent."""

        self.on_closed: Callable[[CallerConnection], None] = lambda conn: None
        """Called once the connection is closed."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the task of the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
        self._task = asyncio.create_task(self._run())

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer for the next bytes."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keeps received bytes for the parser, and stops receiving while there are many."""
        self._received += memoryview(_receive_buffer)[:nbytes]
        if len(self._received) >= MAX_UNPARSED_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        """Cancels the request in progress when the caller closes its side."""
        self._on_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress and reports the end of the connection."""
        self._on_disconnect()
        self.on_closed(self)

    def pause_writing(self) -> None:
        """Blocks senders while the write buffer is above its high-water mark."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblocks senders once the write buffer has drained."""
        self._writable.set()

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller closed its side or the connection was aborted."""
        return self._disconnected

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled, and no response waits to be sent."""
        is_reading = self._parser.their_state is not h11.IDLE or self._has_unread_bytes()
        is_sending = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return not (self.is_busy or is_reading or is_sending)

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection abruptly, so that a partial response does not look complete."""
        self._disconnected = True
        self.is_aborted = True
        if self._transport is not None:
            self._transport.abort()

    async def respond(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Sends a complete response.

        Args:
            status: HTTP status.
            headers: Headers; hop-by-hop headers are replaced.
            body: Complete body.
        """
        framed = [*_drop_hop_by_hop(headers), (b"content-length", str(len(body)).encode())]
        self._send_head(status, framed)
        if body:
            self._write(self._parser.send(h11.Data(data=body)))
        self._write(self._parser.send(h11.EndOfMessage()))
        await self._writable.wait()

    async def start_response(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Sends the head of a streamed response.

        Args:
            status: HTTP status.
            headers: Headers; hop-by-hop headers are replaced.
        """
        self._send_head(status, [*_drop_hop_by_hop(headers), (b"transfer-encoding", b"chunked")])

    async def send_chunk(self, data: bytes) -> None:
        """Sends a chunk of a streamed response, and waits while the write buffer is full.

        Args:
            data: Bytes of the chunk.
        """
        self._write(self._parser.send(h11.Data(data=data)))
        await self._writable.wait()

    async def finish_response(self) -> None:
        """Marks a streamed response as complete."""
        self._write(self._parser.send(h11.EndOfMessage()))
        await self._writable.wait()

    async def _run(self) -> None:
        """Handles requests until either side closes the connection."""
        transport = self._transport
        assert transport is not None
        try:
            while not self._disconnected:
                request = await self._read_request()
                if request is None:
                    break
                self.is_busy = True
                self.response_started = False
                await self._handle(self, request)
                self._body_share.release()
                self.is_busy = False
                if self._parser.our_state is not h11.DONE:
                    break
                if self._parser.their_state is not h11.DONE:
                    break
                self._parser.start_next_cycle()
        except MalformedRequest as exc:
            await self._reject(exc)
        except asyncio.CancelledError:
            if not self._disconnected:
                raise
        finally:
            self._body_share.release()
            transport.close()

    async def _read_request(self) -> CallerRequest | None:
        """Reads a complete request, or returns None if the caller closes or stays idle."""
        loop = asyncio.get_running_loop()
        limits = self._limits()
        try:
            async with asyncio.timeout(limits.idle_timeout):
                while not self._has_unread_bytes():
                    await self._wait_readable()
        except TimeoutError:
            return None
        started = loop.time()
        try:
            async with asyncio.timeout(limits.head_timeout):
                head = await self._next_event()
            if not isinstance(head, h11.Request):
                return None
            _check_framing(head)
            if self._parser.they_are_waiting_for_100_continue:
                self._write(
                    self._parser.send(h11.InformationalResponse(status_code=100, headers=[]))
                )
            body = bytearray()
            while True:
                async with asyncio.timeout(limits.idle_timeout):
                    event = await self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    break
                if not isinstance(event, h11.Data):
                    return None
                body += event.data
                if len(body) > limits.max_body_bytes:
                    raise MalformedRequest(413, "the request body is too large")
                if not self._body_share.try_resize(len(body)):
                    raise MalformedRequest(503, "no memory is left for bodies", RETRY_AFTER)
        except TimeoutError as exc:
            raise MalformedRequest(408, "timed out reading the request") from exc
        return self._dialect.decode_request(
            head.method, head.target, tuple(head.headers), bytes(body), started
        )

    async def _next_event(self) -> h11.Event:
        """Waits for the next parser event of a request."""
        await self._slice.checkpoint()
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise MalformedRequest(exc.error_status_hint, str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            if not self._received:
                await self._wait_readable()
            self._parser.receive_data(bytes(self._received))
            self._received.clear()
            if self._transport is not None:
                self._transport.resume_reading()

    async def _wait_readable(self) -> None:
        """Waits for more bytes from the caller."""
        self._readable.clear()
        await self._readable.wait()
        self._slice.restart()

    def _has_unread_bytes(self) -> bool:
        """Whether bytes have been received that belong to no event yet."""
        return bool(self._received or self._parser.trailing_data[0])

    async def _reject(self, exc: MalformedRequest) -> None:
        """Responds to an unacceptable request with its error status and closes the connection."""
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            if exc.retry_after is not None:
                headers.append((b"retry-after", str(exc.retry_after).encode()))
            self._write(
                self._parser.send(h11.Response(status_code=exc.status, headers=headers, reason=b""))
            )
            self._write(self._parser.send(h11.EndOfMessage()))

    def _send_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Sends the head of a response; during a graceful shutdown, it announces the close."""
        if self._is_stopping():
            headers.append((b"connection", b"close"))
        self.response_started = True
        self._write(self._parser.send(h11.Response(status_code=status, headers=headers)))

    def _write(self, data: bytes | None) -> None:
        """Writes bytes unless the connection is closing."""
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _on_disconnect(self) -> None:
        """Cancels the connection's task after the caller has disconnected."""
        if not self._disconnected:
            self._disconnected = True
            if self._task is not None:
                self._task.cancel()


def _drop_hop_by_hop(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Removes hop-by-hop headers."""
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP_HEADERS]


def _check_framing(head: h11.Request) -> None:
    """Rejects a request with ambiguous framing or host, which allows request smuggling."""
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise MalformedRequest(400, "both Content-Length and Transfer-Encoding are set")
    if names.count(b"host") != 1:
        raise MalformedRequest(400, "the request must have exactly one Host header")
