"""HTTP connection to a backend server."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

import h11

from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.event_reader import EventReader
from sapphireledge.gateway.response_buffer import MAX_BODY_BYTES, ResponseBuffer
from sapphireledge.gateway.unread_reader import UnreadReader, open_unread_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.dialect import Dialect
    from sapphireledge.gateway.response_head import ResponseHead

__all__ = ["BackendConnection"]

KEEPALIVE_IDLE = 1
"""Idle seconds before the first TCP keep-alive probe; the smallest value the kernel accepts."""

KEEPALIVE_INTERVAL = 1
"""Seconds between two TCP keep-alive probes."""

KEEPALIVE_PROBES = 3
"""Unanswered TCP keep-alive probes after which the connection is closed."""

USER_TIMEOUT = KEEPALIVE_IDLE + KEEPALIVE_INTERVAL * KEEPALIVE_PROBES
"""Seconds that sent data may stay unacknowledged before the kernel closes the connection.

With this option, the kernel ignores the number of keep-alive probes and closes the connection after
this time without an answer to them. A sound server may be silent for a second or two.
"""

C_INT = struct.Struct("i")

MAX_HEAD_SIZE = 32_768
"""Largest response head, chunk header or trailer in bytes."""

STATUS_LIMIT = 600
"""Statuses from here on do not exist in HTTP; the parser refuses those below 100."""

MAX_SKIPPED_RESPONSES = 4
"""Interim responses and responses to other requests that may precede a response. A server repeats a
response once; more of them show that it is out of order."""

MAX_SKIPPED_BYTES = 1_048_576
"""Largest body of a response to another request that is discarded."""


class BackendConnection:
    """Sends one request at a time and reads its response.

    Call `read_head`, then `read_chunk` until it returns None. Any protocol violation, reset or
    premature end of the response raises `BackendResponseError`.
    """

    def __init__(self, reader: UnreadReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._event_reader = EventReader(reader)
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_SIZE)
        self._request: h11.Request | None = None
        self._is_complete = False
        self.on_response: Callable[[ResponseHead], None] = lambda head: None
        """Called with the head of the response to each request."""

        self.last_request_id = ""
        """Id of the latest request on this connection, empty if it had none."""

        self._has_answered = False
        self.ends_with_connection = False
        """Whether the latest response has neither a length nor chunks, so that its end looks like
        that of its server."""

        self.identifies_responses = True
        """Whether each response so far carried the id of its request. Otherwise a late copy of one
        cannot be told from the response to a call without an id."""

        self.must_close = False
        """Whether the connection must not be reused for another request."""

        self.idle_since = 0.0
        """Event loop time in seconds at which the last response ended."""

        self.idle_timeout: float | None = None
        """Idle timeout in seconds announced by the backend server, None if it announced none."""

    @classmethod
    async def open(cls, host: str, port: int) -> BackendConnection:
        """Opens a connection.

        Args:
            host: IP address.
            port: TCP port.

        Returns:
            The open connection.

        Raises:
            OSError: The connection could not be opened.
        """
        reader, writer = await open_unread_connection(host, port)
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT * 1000)
        return cls(reader, writer)

    @property
    def is_reusable(self) -> bool:
        """Whether the last response is complete and another request may be sent.

        Bytes that arrive on an idle connection belong to no request.
        """
        return (
            self._is_complete
            and not self._reader.unread
            and not self.must_close
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    def send(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Writes a complete request without waiting for it to be flushed.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: Headers, except those that frame the body.
            body: Complete body.
        """
        framed = list(headers)
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framed.append((b"content-length", str(len(body)).encode()))
        self._request = h11.Request(method=method, target=target, headers=framed)
        self._is_complete = False
        self._event_reader.restart()
        data = self._parser.send(self._request) or b""
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._writer.write(data)

    async def read_head(
        self, dialect: Dialect, request_id: str, *, checks_body: bool = False
    ) -> ResponseHead:
        """Reads the head of the response, skipping responses to other requests.

        Args:
            dialect: Decoder of the platform's headers.
            request_id: Id of the request that was sent, empty for a call without one.
            checks_body: Whether the caller checks by the body that a response without an id is the
                one to its call.

        Returns:
            The head.

        Raises:
            BackendResponseError: The connection ended or the data is not a valid HTTP response.
        """
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BackendResponseError("the response has no head")
            if event.status_code >= STATUS_LIMIT:
                raise BackendResponseError(f"there is no status {event.status_code} in HTTP")
            self.ends_with_connection = not _has_length(event)
            head = dialect.decode_response(event.status_code, tuple(event.headers))
            self.must_close = self.must_close or head.closes_connection
            self.idle_timeout = head.idle_timeout
            is_expected = checks_body or self._expects_unnamed_response(request_id)
            if head.request_id is None and not is_expected:
                raise BackendResponseError("the response may belong to an earlier request")
            if head.request_id is None or head.request_id == request_id:
                self.identifies_responses &= head.request_id is not None
                self.last_request_id = request_id
                self.on_response(head)
                return head
            await self._skip_mismatched_response()
        raise BackendResponseError("too many responses precede the response to the request")

    async def read_chunk(self) -> bytes | None:
        """Reads the next chunk of the body.

        Returns:
            The bytes, or None at the end of a complete body.

        Raises:
            BackendResponseError: The body is truncated.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise BackendResponseError("the response body is truncated")
        if self.ends_with_connection and self._has_unacknowledged():
            raise BackendResponseError("the connection ended before the request was sent")
        self._on_response_complete()
        return None

    async def checkpoint(self) -> None:
        """Lets other tasks run if this connection has kept the event loop for long.

        Call it after each part of a chunk whose processing may take long.
        """
        await self._event_reader.checkpoint()

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Reads the complete body.

        Args:
            max_bytes: Largest body in bytes.

        Returns:
            The body.

        Raises:
            BackendResponseError: The body is truncated or too large.
        """
        with ResponseBuffer(max_bytes) as buffer:
            while (chunk := await self.read_chunk()) is not None:
                buffer.append(chunk)
            return buffer.content()

    def abort(self) -> None:
        """Closes the connection immediately, so that the backend server cancels the request."""
        self.must_close = True
        self._writer.transport.abort()

    def _has_unacknowledged(self) -> bool:
        """Whether the host of the backend server has not received the whole request.

        A host that has received it acknowledges it with the end of the response at the latest.
        """
        if self._writer.transport.get_write_buffer_size():
            return True
        sock = self._writer.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return False
        count = bytearray(C_INT.size)
        try:
            fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
        except OSError:
            # Not every environment counts them; a break shows as a reset then.
            return False
        return C_INT.unpack(count)[0] > 0

    def _expects_unnamed_response(self, request_id: str) -> bool:
        """Whether a response without an id can only be the one to the request.

        It may be a late copy of an earlier one if the request has an id, which servers repeat, or
        if an earlier response had none.
        """
        return not self._has_answered or (not request_id and self.identifies_responses)

    def _on_response_complete(self) -> None:
        """Prepares the parser for the next response, or marks the connection to be closed."""
        self._is_complete = True
        self._has_answered = True
        self.idle_since = asyncio.get_running_loop().time()
        unsent = self._writer.transport.get_write_buffer_size()
        reusable = (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self._parser.trailing_data[0]
            and not unsent
        )
        if reusable:
            self._parser.start_next_cycle()
        else:
            self.must_close = True

    async def _skip_mismatched_response(self) -> None:
        """Discards a response to an earlier request and prepares the parser for the next one.

        The new parser is fed a placeholder request, because h11 accepts a response only after one.
        """
        self.must_close = True
        skipped = 0
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise BackendResponseError("a response to another request is truncated")
            skipped += len(event.data)
            if skipped > MAX_SKIPPED_BYTES:
                raise BackendResponseError("a response to another request does not end")
        trailing, closed = self._parser.trailing_data
        if closed or self._parser.their_state is not h11.DONE or self._request is None:
            raise BackendResponseError("the connection ended after a response to another request")
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_SIZE)
        self._parser.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
        self._parser.send(h11.EndOfMessage())
        if trailing:
            self._parser.receive_data(trailing)

    async def _next_event(self) -> h11.Event:
        """Reads from the connection until the parser returns an event."""
        try:
            event = await self._event_reader.next_event(self._parser)
        except h11.RemoteProtocolError as exc:
            raise BackendResponseError(
                f"invalid HTTP response: {exc}", connection_lost=self._reader.at_eof()
            ) from exc
        except OSError as exc:
            raise BackendResponseError(f"connection error: {exc}", connection_lost=True) from exc
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise BackendResponseError(
                "the connection was closed before the response was complete", connection_lost=True
            )
        return event


def _has_length(response: h11.Response) -> bool:
    """Whether the end of a response shows otherwise than by the end of the connection."""
    names = {name for name, _ in response.headers}
    return not names.isdisjoint((b"content-length", b"transfer-encoding"))
