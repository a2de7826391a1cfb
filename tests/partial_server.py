"""Backend server that answers while a request is still being sent to it."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct

from gateway_case import HOST

UNREAD_BODY = 3_000_000
"""Size of a body that fits into no socket buffer, so that its sender is still writing it."""

PART = b"part of a body"

FRAMINGS = {
    "no length": (b"", PART),
    "a length": (b"content-length: 1000\r\n", PART),
    "chunks": (b"transfer-encoding: chunked\r\n", b"%x\r\n%s\r\n" % (len(PART), PART)),
    "an open chunk": (b"transfer-encoding: chunked\r\n", b"100\r\n" + PART),
}
"""Headers and first bytes of a response that does not reach its end."""

ENDINGS = ("end", "close", "reset")

MANNERS = tuple(itertools.product(FRAMINGS, ENDINGS))


class PartialServer:
    """Reads the head of each request, writes scripted bytes, and ends the connection.

    The body of the request is read only if `reads_body` is set.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.ending = "end"
        self.reads_body = False
        self.status = b"200 OK"
        self.headers = b""
        self.body = b""
        self.repeated_headers: tuple[bytes, ...] = ()
        self.port = 0

    async def start(self) -> None:
        # Small buffers, so that little of an unread body leaves its sender.
        sock = socket.create_server((HOST, 0))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=65_536)
        self.port = sock.getsockname()[1]

    def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            lines = {
                name.strip().lower(): value.strip()
                for name, _, value in (line.partition(b":") for line in head.split(b"\r\n"))
            }
            if self.reads_body:
                await reader.readexactly(int(lines.get(b"content-length", b"0")))
            else:
                writer.transport.pause_reading()
            repeated = b"".join(
                b"%s: %s\r\n" % (name, lines[name])
                for name in self.repeated_headers
                if name in lines
            )
            status_line = b"HTTP/1.1 " + self.status + b"\r\n"
            writer.write(status_line + repeated + self.headers + b"\r\n" + self.body)
            await self._end(writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.transport.abort()

    async def _end(self, writer):
        await asyncio.sleep(0.05)
        if self.ending == "end":
            writer.write_eof()
            # The connection stays open, so that the unread bytes do not reset it.
            await asyncio.sleep(1.0)
        elif self.ending == "close":
            writer.close()
        else:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
