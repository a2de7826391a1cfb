"""HTTP connection of a caller."""

from __future__ import annotations

import asyncio
import socket
from time import monotonic
from typing import TYPE_CHECKING

import h11

from sapphireledge.gateway.head_scan import check_head, find_head
from sapphireledge.gateway.malformed_request import MalformedRequest
from sapphireledge.gateway.unanswered_request import EndReason, UnansweredRequest
from sapphireledge.gateway.wait_for_event import wait_for_arrival
from sapphireledge.limits import (
    HEAD_END_OVERLAP,
    RESPONSE_BUDGET,
    BufferShare,
    LimitReason,
    TimeSlice,
    count_unsent,
    estimate_head_memory,
    find_head_end,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from sapphireledge.gateway.caller_limits import CallerLimits
    from sapphireledge.gateway.caller_request import CallerRequest
    from sapphireledge.gateway.dialect import Dialect
    from sapphireledge.limits import CallerAccount, CallerLedger

__all__ = ["CallerConnection"]

MAX_UNPARSED_BYTES = 65_536
"""Unparsed bytes of one caller from which on the gateway stops receiving from it."""

READ_AHEAD_BYTES = 4_096
"""Bytes of further requests that are received from a caller while its request is served."""

PARSER_BYTES = 16_384
"""Bytes of a body that the parser gets at once; it makes several objects of each chunk."""

MAX_ORDINARY_FIELDS = 256
"""Fields from which on a head is parsed in turns with others; its parsing takes milliseconds."""

MAX_REQUESTS_AHEAD = 8
"""Requests that had arrived ahead after which a connection takes turns with others."""

RETRY_AFTER = 1.0
"""Seconds after which a request for which no memory was left may be sent again."""

WRITE_HIGH_WATER = 16_384
"""Unsent bytes to a caller above which the gateway stops reading from the backend server. They come
on top of what the kernel buffers."""

WRITE_PIECE = 65_536
"""Bytes of a large answer that are passed to the transport at once, which copies them."""

LINGER_TIME = 15.0
"""Seconds in which a caller must read some of its last answer, or the connection is reset."""

DISCARDING_STATUSES = (413, 503)
"""Statuses of refused bodies, the rest of which is read and dropped."""

DISCARD_TIME = 1.0
"""Seconds for which it is."""

ANSWERED_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
"""States of the parser in which a response is complete."""

KEEPALIVE_IDLE = 5
"""Idle seconds before TCP keep-alive probes are sent to detect a vanished caller."""

FAILURE_HEADERS = "content-length: 0\r\nconnection: close\r\n"
"""Headers of the response to a request that met an unexpected exception."""

HOP_BY_HOP_HEADERS = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"upgrade", b"trailer"}
)
"""Headers that apply to one connection only; responses to callers get their own framing."""

_receive_buffer = bytearray(MAX_UNPARSED_BYTES)
"""Shared by all connections, as it is filled and emptied within one callback of the transport."""

_read_ahead_buffer = memoryview(_receive_buffer)[:READ_AHEAD_BYTES]
"""Beginning of the shared buffer."""


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
        ledger: CallerLedger,
    ) -> None:
        self._limits = limits
        self._dialect = dialect
        self._handle = handle
        self._is_stopping = is_stopping
        self._ledger = ledger
        self._account: CallerAccount | None = None
        self._parser = self._create_parser()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._received = bytearray()
        self._body = bytearray()
        self._head_bytes = 0
        self._parser_bytes = 0
        self._requests_ahead = 0
        self._refusal: MalformedRequest | None = None
        self._answer_share = BufferShare(RESPONSE_BUDGET)
        self._linger_timer: asyncio.TimerHandle | None = None
        self._slice = TimeSlice()
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._disconnected = False
        self._is_discarding = False
        self._request: CallerRequest | None = None
        self.end_reason: EndReason | None = None
        """Why the connection ended, None while it is open."""

        self.is_aborted = False
        """Whether the gateway aborted the connection before the response was complete."""

        self.is_busy = False
        """Whether a request has been read and its response is not complete."""

        self.response_started = False
        """Whether the head of the response has been sent."""

        self.may_have_run = False
        """Whether the request in progress may have been sent to a backend server."""

        self.on_closed: Callable[[CallerConnection], None] = lambda conn: None
        """Called once the connection is closed."""

        self.on_unanswered: Callable[[UnansweredRequest], None] = lambda unanswered: None
        """Called if the connection ends, not by its caller, before a complete request has its
        complete response."""

        self.on_error: Callable[[Exception], None] = lambda exc: None
        """Called with an unexpected exception while a request is read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the task of the connection, if the ledger has a place for it."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._account = self._ledger.open(monotonic(), self._evict)
        if self._account is None:
            self._disconnected = True
            transport.abort()
            return
        self._account.count_unsent = transport.get_write_buffer_size
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
        self._task = asyncio.create_task(self._run())

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer for the next bytes, a small one while a request is served."""
        return _read_ahead_buffer if self.is_busy else _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keeps received bytes for the parser, and stops receiving while there are many."""
        if self._account is None or self._transport is None or self._is_discarding:
            return
        now = monotonic()
        self._received += memoryview(_receive_buffer)[:nbytes]
        self._account.on_moved(now, nbytes)
        if self.is_busy:
            if len(self._received) >= READ_AHEAD_BYTES:
                self._transport.pause_reading()
        elif not self._account.try_resize(now, self._held_bytes()):
            self._received.clear()
            self._refusal = MalformedRequest(503, "no memory is left for requests", RETRY_AFTER)
            self._ledger.on_limited(LimitReason.NO_MEMORY)
            self._transport.pause_reading()
        elif len(self._received) >= max(MAX_UNPARSED_BYTES, self._limits().max_head_bytes + 1):
            # A head is parsed as a whole.
            self._transport.pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        """Cancels the request in progress when the caller closes its side."""
        self._end(EndReason.CALLER_CLOSED)
        self._on_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress and reports the end of the connection."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._end(EndReason.CALLER_CLOSED if exc is None else EndReason.CONNECTION_LOST)
        self._on_disconnect()
        self._release()
        self.on_closed(self)

    def pause_writing(self) -> None:
        """Blocks senders while the write buffer is above its high-water mark.

        A connection whose answers find no memory is closed: the caller does not read them.
        """
        self._writable.clear()
        if self._account is None or self._account.answer_bytes:
            return
        now = monotonic()
        if not self._account.try_resize(now, self._held_bytes()):
            self._ledger.on_limited(LimitReason.NO_MEMORY)
            self._end(EndReason.GAVE_WAY)
            self._reset()

    def resume_writing(self) -> None:
        """Unblocks senders once the write buffer has drained."""
        self._writable.set()
        if self._account is not None and not self._account.answer_bytes:
            self._account.try_resize(monotonic(), self._held_bytes())

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
        self._end(EndReason.ABORTED)
        self._disconnected = True
        self.is_aborted = True
        if self._transport is not None:
            self._transport.abort()

    def fail(self) -> None:
        """Ends a request that met an unexpected exception.

        The caller gets an error status, unless a response has begun. The parser is not used, as it
        may be what failed.
        """
        if self._parser.our_state in ANSWERED_STATES:
            return None
        if self.response_started:
            return self.abort()
        self._end(EndReason.REFUSED)
        status = 502 if self.may_have_run else 503
        self._write(f"HTTP/1.1 {status} \r\n{FAILURE_HEADERS}\r\n".encode())
        return None

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
        if len(body) <= WRITE_PIECE:
            if body:
                self._write(self._parser.send(h11.Data(data=body)))
        else:
            await self._send_large_body(body)
        self._write(self._parser.send(h11.EndOfMessage()))
        await self._drain()

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
        await self._drain()

    async def finish_response(self) -> None:
        """Marks a streamed response as complete."""
        self._write(self._parser.send(h11.EndOfMessage()))
        await self._drain()

    async def _send_large_body(self, body: bytes) -> None:
        """Sends a body in pieces, and counts it as a response until the caller has read it."""
        self._answer_share.hold(len(body))
        if self._account is not None:
            self._account.answer_bytes = len(body)
        for start in range(0, len(body), WRITE_PIECE):
            self._write(self._parser.send(h11.Data(data=body[start : start + WRITE_PIECE])))
            await self._drain()
        self._answer_share.release()
        if self._account is not None:
            self._account.answer_bytes = 0

    async def _drain(self) -> None:
        """Waits while the write buffer is full; meanwhile the connection may be closed."""
        if self._writable.is_set() or self._account is None:
            return
        self._account.wait_for_peer(monotonic())
        await self._writable.wait()
        self._account.serve(monotonic())

    async def _run(self) -> None:
        """Handles requests until either side closes the connection."""
        transport = self._transport
        assert transport is not None
        reason = EndReason.UNEXPECTED
        try:
            while True:
                self._request = await self._read_request()
                if self._request is None:
                    reason = EndReason.IDLE
                    break
                self.is_busy = True
                await self._handle(self, self._request)
                if not self._is_reusable:
                    reason = EndReason.CLOSING
                    break
                self._begin_next_request()
        except MalformedRequest as exc:
            reason = EndReason.REFUSED
            self._reject(exc)
            if exc.status in DISCARDING_STATUSES:
                await self._discard_rest(transport)
        except asyncio.CancelledError:
            if not self._disconnected:
                reason = EndReason.STOPPED
                raise
        except Exception as exc:
            self.on_error(exc)
            self.fail()
        finally:
            self._end(reason)
            self._request = None
            self._body = bytearray()
            self._received.clear()
            transport.close()
            if transport.get_write_buffer_size() and self._account is not None:
                self._account.wait_for_peer(monotonic())
                self._linger(transport, count_unsent(transport))

    @property
    def _is_reusable(self) -> bool:
        """Whether a response is complete and another request may follow."""
        is_done = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        return is_done and not self._disconnected

    def _end(self, reason: EndReason) -> None:
        """Takes in that the connection ends; only the first reason counts."""
        if self.end_reason is not None:
            return
        self.end_reason = reason
        if reason.is_by_caller or reason is EndReason.REFUSED:
            return
        request, is_answered = self._request, self._parser.our_state in ANSWERED_STATES
        if request is not None and not is_answered:
            held = asyncio.get_running_loop().time() - request.received_at
            self.on_unanswered(
                UnansweredRequest(request.request_id, reason, self.response_started, held)
            )
        elif find_head_end(self._received, 0):
            self.on_unanswered(UnansweredRequest("", reason, False, None))

    def _linger(self, transport: asyncio.Transport, unsent: int) -> None:
        """Waits for a caller to read its last answer, and resets a connection without progress."""

        def check() -> None:
            left = count_unsent(transport)
            if left < unsent:
                self._linger(transport, left)
            else:
                transport.abort()

        self._linger_timer = asyncio.get_running_loop().call_later(LINGER_TIME, check)

    async def _discard_rest(self, transport: asyncio.Transport) -> None:
        """Drops what the caller still sends for a while, until it closes its side.

        If bytes are unread when a connection is closed, its reset can overtake the refusal.
        """
        if transport.is_closing():
            return
        self._is_discarding = True
        self._body = bytearray()
        self._received.clear()
        self._head_bytes = self._parser_bytes = 0
        if self._account is not None:
            self._account.try_resize(monotonic(), self._held_bytes())
            self._account.waits_for_peer = True
        transport.write_eof()
        transport.resume_reading()
        await asyncio.sleep(DISCARD_TIME)

    async def _read_request(self) -> CallerRequest | None:
        """Reads a complete request, or returns None if the caller closes or stays idle."""
        loop = asyncio.get_running_loop()
        await self._limit_requests_ahead()
        if not await self._wait_for_request():
            return None
        limits = self._limits()
        started = loop.time()
        try:
            head = await self._read_head(limits.max_head_bytes, started + limits.head_timeout)
            check_head(head, limits.max_body_bytes)
            if self._parser.they_are_waiting_for_100_continue:
                self._write(
                    self._parser.send(h11.InformationalResponse(status_code=100, headers=[]))
                )
            if not await self._read_body(head, limits):
                return None
        except TimeoutError as exc:
            raise MalformedRequest(408, "timed out reading the request") from exc
        body = bytes(self._body)
        self._body = bytearray()
        self._head_bytes += len(body)
        if self._account is not None:
            self._account.serve(monotonic())
        return self._dialect.decode_request(
            head.method, head.target, tuple(head.headers), body, started
        )

    async def _wait_for_request(self) -> bool:
        """Waits for the first bytes of a request; returns whether any arrived in time.

        Callers reuse a connection for as long as the configuration permits. One that comes into
        force during the wait may lengthen it; it does not shorten a wait that callers rely on.
        """
        idle_since = asyncio.get_running_loop().time()
        timeout = self._limits().idle_timeout
        while not self._received:
            try:
                await self._wait_readable(idle_since + timeout)
            except TimeoutError:
                longer = self._limits().idle_timeout
                if longer <= timeout:
                    return False
                timeout = longer
        return True

    async def _read_head(self, max_bytes: int, deadline: float) -> h11.Request:
        """Reads a request head, of which each byte must have arrived by the deadline.

        The parser gets it once it is complete and there is memory for its fields.
        """
        await self._slice.checkpoint()
        searched = 0
        while not (size := find_head(self._received, searched, max_bytes)):
            searched = max(0, len(self._received) - HEAD_END_OVERLAP)
            await self._wait_readable(deadline)
        fields = self._received.count(b"\n", 0, size)
        self._head_bytes = estimate_head_memory(size, fields)
        self._hold()
        if fields > MAX_ORDINARY_FIELDS:
            await self._slice.take_turn()
            if self._refusal is not None:
                # No memory was left for more bytes during the wait.
                raise self._refusal
        self._feed(size)
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            raise MalformedRequest(exc.error_status_hint, str(exc)) from exc
        self._parser_bytes = 0
        if not isinstance(event, h11.Request):
            raise MalformedRequest(400, "the request line is incomplete")
        return event

    async def _limit_requests_ahead(self) -> None:
        """Lets other connections work after some requests that had arrived ahead."""
        if not self._received:
            self._requests_ahead = 0
            return
        self._requests_ahead += 1
        if self._requests_ahead > MAX_REQUESTS_AHEAD:
            self._requests_ahead = 0
            await self._slice.take_turn()

    async def _read_body(self, head: h11.Request, limits: CallerLimits) -> bool:
        """Reads a request body; returns whether it is complete."""
        while True:
            deadline = asyncio.get_running_loop().time() + limits.idle_timeout
            event = await self._next_event(deadline)
            if isinstance(event, h11.EndOfMessage):
                return True
            if not isinstance(event, h11.Data):
                return False
            if len(self._body) + len(event.data) > limits.max_body_bytes:
                raise MalformedRequest(413, "the request body is too large")
            self._body += event.data
            self._parser_bytes = max(0, self._parser_bytes - len(event.data))

    async def _next_event(self, deadline: float) -> h11.Event:
        """Waits for the next parser event of a request, whose bytes must arrive by the deadline."""
        await self._slice.checkpoint()
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise MalformedRequest(exc.error_status_hint, str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            if not self._received:
                await self._wait_readable(deadline)
            self._feed(PARSER_BYTES)

    def _feed(self, size: int) -> None:
        """Passes received bytes to the parser, and receives more."""
        data = bytes(self._received[:size])
        del self._received[:size]
        self._parser_bytes = len(data)
        self._parser.receive_data(data)
        if self._transport is not None and len(self._received) < MAX_UNPARSED_BYTES:
            self._transport.resume_reading()

    def _held_bytes(self) -> int:
        """Bytes that the connection holds for requests and unread answers."""
        transport = self._transport
        is_sent = transport is None or self._writable.is_set()
        unsent = 0 if is_sent else transport.get_write_buffer_size()
        held = len(self._received) + self._parser_bytes + len(self._body) + self._head_bytes
        return held + unsent

    def _hold(self) -> None:
        """Takes memory for what the request holds now."""
        if self._account is not None and not self._account.try_resize(
            monotonic(), self._held_bytes()
        ):
            self._ledger.on_limited(LimitReason.NO_MEMORY)
            raise MalformedRequest(503, "no memory is left for requests", RETRY_AFTER)

    def _release(self) -> None:
        """Gives back all that the connection holds."""
        self._body = bytearray()
        self._received = bytearray()
        self._answer_share.release()
        if self._account is not None:
            self._account.close()

    def _begin_next_request(self) -> None:
        """Prepares for the next request, of which bytes may have arrived."""
        unparsed = self._parser.trailing_data[0]
        if unparsed:
            self._received[:0] = unparsed
            self._parser = self._create_parser()
        else:
            self._parser.start_next_cycle()
        self._head_bytes = self._parser_bytes = 0
        self._request = None
        self.is_busy = self.response_started = self.may_have_run = False
        if self._account is not None:
            self._account.wait_for_peer(monotonic())
            self._account.try_resize(monotonic(), self._held_bytes())
        if self._transport is not None:
            self._transport.resume_reading()

    def _create_parser(self) -> h11.Connection:
        """Creates the parser of the connection."""
        max_bytes = self._limits().max_head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)

    def _evict(self, reason: LimitReason) -> None:
        """Closes the connection to make room for others; a request that is incomplete has not run.

        Called by the ledger, which has given back what the connection holds.
        """
        transport = self._transport
        is_sending = transport is not None and transport.get_write_buffer_size() > 0
        is_partial = self._has_unread_bytes() or self._parser.their_state is not h11.IDLE
        is_cut = self.is_busy or is_sending
        self._end(EndReason.GAVE_WAY if is_cut or not is_partial else EndReason.REFUSED)
        self._release()
        if is_cut:
            self._reset()
        elif transport is not None:
            if is_partial:
                self._reject(MalformedRequest(503, f"closed: {reason}", RETRY_AFTER))
            if transport.get_write_buffer_size():
                return self._reset()
            transport.close()
            self._on_disconnect()
        return None

    def _reset(self) -> None:
        """Closes the connection abruptly and cancels its task."""
        self.is_aborted = True
        if self._transport is not None:
            self._transport.abort()
        self._on_disconnect()

    async def _wait_readable(self, deadline: float) -> None:
        """Waits for more bytes from the caller; meanwhile the connection may be closed.

        Raises TimeoutError if none has arrived by the deadline.
        """
        self._readable.clear()
        if self._account is not None:
            self._account.waits_for_peer = True
        if self._refusal is None and not await wait_for_arrival(self._readable, deadline):
            raise TimeoutError
        if self._account is not None:
            self._account.waits_for_peer = False
        self._slice.restart()
        if self._refusal is not None:
            raise self._refusal

    def _has_unread_bytes(self) -> bool:
        """Whether bytes have been received that belong to no event yet."""
        return bool(self._received or self._parser.trailing_data[0])

    def _reject(self, exc: MalformedRequest) -> None:
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
        head = self._parser.send(h11.Response(status_code=status, headers=headers))
        self.response_started = True
        self._write(head)

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
