"""Loopback proxy that delays, resets, cuts and silences connections."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from soak.http import count_lost_connection

__all__ = ["Link", "LinkFault"]


class LinkFault(StrEnum):
    """Fault of a link."""

    DELAY = "delay"
    """Bytes arrive late in both directions."""

    RESET = "reset"
    """All open connections are aborted."""

    ONE_WAY = "one_way"
    """Bytes towards the client are dropped, also on new connections."""

    SILENT = "silent"
    """Open connections drop all bytes permanently; new connections work."""

    CUT = "cut"
    """No bytes are forwarded, and new connections hang."""


class _Pair:
    """Client and server side of one proxied connection."""

    def __init__(self, client: asyncio.StreamWriter, server: asyncio.StreamWriter) -> None:
        self.writers = (client, server)
        self.silent = False

    def close(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Link:
    """Proxy that listens on a loopback address and forwards to a target, with faults on demand."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.host = host
        self.port = 0
        self.target = target
        self.delay = 0.0
        """Seconds by which data is delayed in each direction."""
        self.one_way = False
        self.cut = False
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Address in the form IP:PORT."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Aborts all open connections."""
        for pair in tuple(self._pairs):
            pair.close()

    def inject(self, fault: LinkFault, strength: float) -> None:
        """Starts a fault.

        Args:
            fault: Fault to start.
            strength: Delay in seconds; only used by `LinkFault.DELAY`.
        """
        if fault is LinkFault.DELAY:
            self.delay = strength
        elif fault is LinkFault.RESET:
            self.reset()
        elif fault is LinkFault.ONE_WAY:
            self.one_way = True
        elif fault is LinkFault.CUT:
            self.cut = True
        else:
            for pair in self._pairs:
                pair.silent = True

    def heal(self) -> None:
        """Ends the ongoing faults; silent connections stay silent."""
        self.delay, self.one_way, self.cut = 0.0, False, False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while self.cut:
            await asyncio.sleep(0.05)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, target_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, target_writer, towards_client=False),
                self._pump(pair, target_reader, writer, towards_client=True),
            )
        finally:
            self._pairs.discard(pair)
            pair.close()

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        towards_client: bool,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.cut:
                    await asyncio.sleep(0.05)
                if pair.silent or (towards_client and self.one_way):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError as exc:
            count_lost_connection("link", exc)
        if not pair.silent:
            pair.close()
