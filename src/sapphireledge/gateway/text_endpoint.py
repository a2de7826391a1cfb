"""Minimal HTTP endpoint for readiness probes and metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11
import structlog

from sapphireledge.gateway.gateway_event import GatewayEvent
from sapphireledge.limits import TimeSlice

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["TextEndpoint"]

READ_SIZE = 4096
"""Largest number of bytes per read."""

MAX_CONNECTION_AGE = 30.0
"""Seconds after which a connection is closed."""


class TextEndpoint:
    """Serves the result of one function for every request, whatever its method and path."""

    def __init__(self, respond: Callable[[], tuple[int, bytes]]) -> None:
        """Creates the endpoint.

        Args:
            respond: Returns the status and body of a response.
        """
        self._respond = respond

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves the requests of one connection.

        Args:
            reader: Stream from the client.
            writer: Stream to the client.
        """
        parser = h11.Connection(h11.SERVER)
        time_slice = TimeSlice()
        try:
            async with asyncio.timeout(MAX_CONNECTION_AGE):
                while await self._serve_one(parser, reader, writer, time_slice):
                    parser.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError) as exc:
            # The client opens a new connection for its next request.
            structlog.get_logger().info(GatewayEvent.ENDPOINT_CLOSED, reason=repr(exc))
        finally:
            writer.close()

    async def _serve_one(
        self,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        time_slice: TimeSlice,
    ) -> bool:
        """Serves one request; returns whether the connection can be used for another."""
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            await time_slice.checkpoint()
            if event is h11.NEED_DATA:
                data = await reader.read(READ_SIZE)
                if len(data) < READ_SIZE:
                    # Nothing else has arrived, so the next read waits.
                    time_slice.restart()
                parser.receive_data(data)
            elif isinstance(event, h11.ConnectionClosed):
                return False
        status, body = self._respond()
        head = h11.Response(
            status_code=status, headers=[("content-length", str(len(body)))], reason=b""
        )
        data = (parser.send(head) or b"") + (parser.send(h11.Data(data=body)) or b"")
        writer.write(data + (parser.send(h11.EndOfMessage()) or b""))
        await writer.drain()
        return parser.our_state is h11.DONE and parser.their_state is h11.DONE
