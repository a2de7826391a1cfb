"""HTTP protocol of the caller interface whose parsing is limited in time."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import Any

from uvicorn.protocols.http.h11_impl import H11Protocol

from sapphireledge.limits import TimeSlice

__all__ = ["CallerProtocol"]

PIECE_BYTES = 2_048
"""Bytes parsed in one step; in chunks of a byte each, they take some milliseconds."""

DIRECT_TIME = 0.001
"""Seconds for which received bytes are parsed at once; a large sound body takes less."""

MAX_BACKLOG = 65_536
"""Unparsed bytes of one caller above which nothing more is received from it."""

PAUSE = 0.005
"""Seconds between two checks whether the application has read what is parsed."""


class CallerProtocol(H11Protocol):
    """Parses what a caller sends in time slices.

    The base class parses all bytes of a read at once. For chunks of a byte that takes a second, in
    which all other connections wait.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._backlog = bytearray()
        self._feeder: asyncio.Task[None] | None = None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, as far as that takes little time, and keeps the rest."""
        self._backlog += data
        if self._feeder is None:
            started = monotonic()
            while self._backlog and monotonic() - started < DIRECT_TIME and self._is_ready():
                self._parse_piece()
            if self._backlog:
                self._feeder = self.loop.create_task(self._parse_backlog())
        if len(self._backlog) > MAX_BACKLOG:
            self.transport.pause_reading()

    async def _parse_backlog(self) -> None:
        """Parses what is left, in turn with other connections."""
        time_slice = TimeSlice()
        try:
            while self._backlog and not self.transport.is_closing():
                await time_slice.checkpoint()
                if self._is_ready():
                    self._parse_piece()
                else:
                    await asyncio.sleep(PAUSE)
                    time_slice.restart()
        finally:
            self._feeder = None
        if self._is_ready() and not self.transport.is_closing():
            self.transport.resume_reading()

    def _is_ready(self) -> bool:
        """Whether the application has read enough of what is parsed."""
        return not self.flow.read_paused

    def _parse_piece(self) -> None:
        """Parses the next bytes."""
        piece = bytes(self._backlog[:PIECE_BYTES])
        del self._backlog[:PIECE_BYTES]
        super().data_received(piece)
