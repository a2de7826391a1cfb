"""Reads the HTTP responses of one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from sapphireledge.limits import TimeSlice

if TYPE_CHECKING:
    from sapphireledge.gateway.unread_reader import UnreadReader

__all__ = ["EventReader"]

READ_SIZE = 65_536
"""Largest number of bytes per read."""


class EventReader:
    """Feeds a parser from a connection, within the time slice of the connection."""

    def __init__(self, reader: UnreadReader) -> None:
        self._reader = reader
        self._slice = TimeSlice()

    async def next_event(self, parser: h11.Connection) -> h11.Event:
        """Reads until the parser returns an event.

        Args:
            parser: Parser of the connection.

        Returns:
            The event.

        Raises:
            h11.RemoteProtocolError: The bytes are not a valid response.
            OSError: The connection failed.
        """
        await self.checkpoint()
        while (event := parser.next_event()) is h11.NEED_DATA:
            must_wait = not self._reader.unread
            parser.receive_data(await self._reader.read(READ_SIZE))
            if must_wait:
                self._slice.restart()
            else:
                await self.checkpoint()
        return event

    def restart(self) -> None:
        """Starts a time slice for the response to a request that is sent now."""
        self._slice.restart()

    async def checkpoint(self) -> None:
        """Lets other tasks run if this connection has kept the event loop for long."""
        await self._slice.checkpoint()
