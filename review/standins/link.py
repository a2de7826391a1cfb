"""Proxy in front of the store, whose open connections can go silent."""

from __future__ import annotations

import asyncio


class Link:
    """Forwards connections to a target.

    After `silence`, the connections that are open then carry nothing more in either direction and
    are not closed; new ones work.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._generation = 0
        self.address = ""

    async def start(self) -> None:
        """Listens on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def silence(self) -> None:
        """Silences all open connections for good."""
        self._generation += 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        generation = self._generation
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(generation, reader, far_writer))
                group.create_task(self._pump(generation, far_reader, writer))
        finally:
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(
        self, generation: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                if generation != self._generation:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if generation == self._generation:
            writer.transport.abort()
