"""Minimal HTTP endpoint for readiness probes and metrics."""

from __future__ import annotations

import asyncio
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING

import h11
import structlog

from sapphireledge.gateway.gateway_event import GatewayEvent
from sapphireledge.limits import (
    CallerBudgets,
    CallerLedger,
    LimitLog,
    TimeSlice,
    limit_reads,
    start_listener,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["TextEndpoint"]

READ_SIZE = 4096
"""Largest number of bytes per read."""

WRITE_HIGH_WATER = 4_096
"""Unsent bytes of a connection above which its requests are not read."""

MAX_CONNECTION_AGE = 30.0
"""Seconds after which a connection is closed."""


class TextEndpoint:
    """Serves the result of one function for every request, whatever its method and path."""

    def __init__(
        self, respond: Callable[[], tuple[int, bytes]], ledger: CallerLedger | None = None
    ) -> None:
        """Creates the endpoint.

        Args:
            respond: Returns the status and body of a response.
            ledger: Limits on connections; those of a readiness endpoint by default.
        """
        self._respond = respond
        self._log = LimitLog()
        self._ledger = CallerLedger(CallerBudgets().readiness) if ledger is None else ledger

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Starts to serve connections.

        Args:
            host: IP address.
            port: TCP port.

        Returns:
            The listener.
        """
        start = partial(asyncio.start_server, self.serve, limit=READ_SIZE)
        return await start_listener(start, host, port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves the requests of one connection.

        Args:
            reader: Stream from the client.
            writer: Stream to the client.
        """
        limit_reads(writer, READ_SIZE)
        account = self._ledger.open(monotonic(), lambda reason: writer.transport.abort())
        if account is None:
            return writer.transport.abort()
        writer.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        parser = h11.Connection(h11.SERVER)
        time_slice = TimeSlice()
        try:
            async with asyncio.timeout(MAX_CONNECTION_AGE):
                while await self._serve_one(parser, reader, writer, time_slice):
                    parser.start_next_cycle()
                    account.touch(monotonic())
        except (OSError, TimeoutError, h11.ProtocolError) as exc:
            # The client opens a new connection for its next request.
            reason = type(exc).__name__
            count = self._log.count(monotonic(), reason)
            if count:
                event = GatewayEvent.ENDPOINT_CLOSED
                structlog.get_logger().info(event, reason=repr(exc), count=count)
        finally:
            account.close()
            if writer.transport.get_write_buffer_size() > WRITE_HIGH_WATER:
                writer.transport.abort()
            else:
                writer.close()
        return None

    async def _serve_one(
        self,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        time_slice: TimeSlice,
    ) -> bool:
        """Serves one request; returns whether the connection can be used for another."""
        while True:
            await time_slice.checkpoint()
            if writer.is_closing():
                return False
            # A parsed head takes much memory, so it is not kept during a wait.
            kind = type(event := parser.next_event())
            del event
            if kind is h11.EndOfMessage:
                break
            if kind is h11.NEED_DATA:
                data = await reader.read(READ_SIZE)
                if len(data) < READ_SIZE:
                    # Nothing else has arrived, so the next read waits.
                    time_slice.restart()
                parser.receive_data(data)
            elif kind is h11.ConnectionClosed:
                return False
        status, body = self._respond()
        head = h11.Response(
            status_code=status, headers=[("content-length", str(len(body)))], reason=b""
        )
        data = (parser.send(head) or b"") + (parser.send(h11.Data(data=body)) or b"")
        writer.write(data + (parser.send(h11.EndOfMessage()) or b""))
        await writer.drain()
        return parser.our_state is h11.DONE and parser.their_state is h11.DONE
