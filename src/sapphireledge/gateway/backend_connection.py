"""One connection to a backend server."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import h11

from sapphireledge.gateway.backend_response_error import BackendResponseError

if TYPE_CHECKING:
    from sapphireledge.gateway.dialect import Dialect
    from sapphireledge.gateway.reply_head import ReplyHead

__all__ = ["BackendConnection"]

READ_SIZE = 65_536
"""Bytes of one read."""

USER_TIMEOUT = 1.5
"""Seconds after which unacknowledged bytes end the connection.

Covers two retransmissions on a lossy link (initial timeouts of 0.2 and 0.4 s); a host that went
dark acknowledges nothing.
"""

KEEPALIVE_IDLE = 1
"""Seconds of silence before the first keep-alive probe, the smallest value of the kernel."""

KEEPALIVE_PROBES = 3
"""Unanswered keep-alive probes, one each second, that end the connection."""

MAX_HEAD_SIZE = 32_768
"""Largest head of an answer in bytes."""


class BackendConnection:
    """Carries one request at a time.

    The answer is read by `read_head` and then `read_body` until it returns None. Any protocol
    violation, reset or early end raises `BrokenReply`.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_SIZE)
        self._request: h11.Request | None = None
        self._is_complete = False
        self.must_close = False
        """Whether the connection must not carry another request."""

        self.idle_since = 0.0
        """Time in seconds of the event loop's clock at which the last answer ended."""

        self.idle_limit: float | None = None
        """Seconds of idleness that the backend server allows, None when it did not say."""

    @classmethod
    async def open(cls, host: str, port: int) -> BackendConnection:
        """Opens a connection.

        Args:
            host: IP address.
            port: TCP port.

        Returns:
            The connection.

        Raises:
            OSError: The connection could not be opened.
        """
        reader, writer = await asyncio.open_connection(host, port)
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(USER_TIMEOUT * 1000))
        return cls(reader, writer)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self._is_complete
            and not self.must_close
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    def send(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Queues a whole request.

        Args:
            method: Method.
            target: Path and query.
            headers: Headers without those that frame the body.
            body: Whole body.
        """
        framed = list(headers)
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framed.append((b"content-length", str(len(body)).encode()))
        self._request = h11.Request(method=method, target=target, headers=framed)
        self._is_complete = False
        data = self._parser.send(self._request) or b""
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._writer.write(data)

    async def read_head(self, dialect: Dialect, request_id: str) -> ReplyHead:
        """Reads the head of the answer; answers to other requests are skipped.

        Args:
            dialect: Translation of headers.
            request_id: Id of the request that was sent.

        Returns:
            The head.

        Raises:
            BrokenReply: The connection ended or carried something that is no answer.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BackendResponseError("the answer has no head")
            head = dialect.decode_reply(event.status_code, tuple(event.headers))
            self.must_close = self.must_close or head.closing
            self.idle_limit = head.keep_idle
            if head.request_id is None or head.request_id == request_id:
                return head
            await self._skip_mismatched_response()

    async def read_chunk(self) -> bytes | None:
        """Reads the next part of the body.

        Returns:
            Bytes, or None at the end of a complete body.

        Raises:
            BrokenReply: The body ended early.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise BackendResponseError("the body has no end")
        self._on_response_complete()
        return None

    async def read_body(self) -> bytes:
        """Reads the body to its end.

        Returns:
            Bytes of the complete body.

        Raises:
            BrokenReply: The body ended early.
        """
        body = bytearray()
        while (chunk := await self.read_chunk()) is not None:
            body += chunk
        return bytes(body)

    def abort(self) -> None:
        """Closes the connection at once, so that the backend server stops its work."""
        self.must_close = True
        self._writer.transport.abort()

    def _on_response_complete(self) -> None:
        """Notes the end of an answer and prepares the parser for the next one."""
        self._is_complete = True
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
        """Drops an answer to an earlier request and expects the next one in its place."""
        self.must_close = True
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise BackendResponseError("an answer to another request has no end")
        trailing, closed = self._parser.trailing_data
        if closed or self._parser.their_state is not h11.DONE or self._request is None:
            raise BackendResponseError("the connection ended with an answer to another request")
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_SIZE)
        self._parser.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
        self._parser.send(h11.EndOfMessage())
        if trailing:
            self._parser.receive_data(trailing)

    async def _next_event(self) -> h11.Event:
        """Reads until the parser has an event."""
        try:
            while True:
                event = self._parser.next_event()
                if event is h11.NEED_DATA:
                    self._parser.receive_data(await self._reader.read(READ_SIZE))
                    continue
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    raise BackendResponseError("the connection was closed")
                return event
        except h11.RemoteProtocolError as exc:
            raise BackendResponseError(f"not an HTTP answer: {exc}") from exc
        except OSError as exc:
            raise BackendResponseError(f"the connection broke: {exc}") from exc
