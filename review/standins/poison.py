"""Stand-in for a runner that crashes when it begins to run a certain request."""

from __future__ import annotations

import asyncio
import socket

from standins.http_io import Message, encode_response, read_message
from standins.record import Record
from standins.runner import PREFIX, Runner
from standins.store import Store

POISON = "/poison/"
"""Part of the path of the request that crashes runners."""


class Crash(Exception):
    """The runner goes dark."""


class FragileRunner(Runner):
    """Goes dark when it begins to run the poisoned request, and is back after some seconds.

    While it is dark, it answers nothing, its connections stay open, and new ones hang; with
    `dark` unset, a crash closes the connections. It comes back with a new id at the same address;
    the store removes the old entry after three heartbeats. Without `fragile` it is a sound runner.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        service: str,
        zone: str,
        *,
        down_s: float,
        fragile: bool = True,
        dark: bool = True,
    ) -> None:
        super().__init__(record, store, service, zone)
        self._fragile = fragile
        self._down_s = down_s
        self._dark = dark
        self._port = 0
        self._starts = 0
        self._server: asyncio.Server | None = None
        self._blockers: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_down = False
        self.crashes: list[float] = []
        """Times of the crashes."""

        self.crashed_by: list[str] = []
        """Ids of the requests that crashed the runner."""

    async def start(self) -> None:
        """Starts a new incarnation."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self._starts += 1
        self._is_down = False
        self.address = f"127.0.0.1:{self._port}"
        self.runner_id = f"i-{self.service}-{self._port}-{self._starts}"
        if hasattr(self, "_born_ms"):
            del self._born_ms
        self.register("ready")
        self._record.add(f"{self.runner_id} starts")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if self._is_down:
                    continue
                answer = await self._answer(request)
                if self._is_down:
                    continue
                writer.write(answer)
                await writer.drain()
        except (OSError, Crash):
            return
        finally:
            if not self._dark:
                writer.transport.abort()

    async def _answer(self, request: Message) -> bytes:
        is_ours = request.headers.get(PREFIX + "expect-instance") == self.runner_id
        if self._fragile and POISON in request.target and is_ours:
            request_id = request.headers[PREFIX + "request-id"]
            self.runs.append((self._record.now(), request_id))
            self._record.add(f"{self.runner_id} begins to run {request_id} and crashes")
            self.crashed_by.append(request_id)
            self._crash()
            return encode_response(500, {})
        return await super()._answer(request)

    def _crash(self) -> None:
        self.crashes.append(self._record.now())
        self._is_down = True
        assert self._server is not None
        self._server.close()
        if self._dark:
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(("127.0.0.1", self._port))
            listener.listen(0)
            self._blockers.append(listener)
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self._port))
                self._blockers.append(filler)
        else:
            for writer in self._writers:
                writer.transport.abort()
        asyncio.get_running_loop().create_task(self._come_back(self.runner_id))

    def close(self) -> None:
        """Closes all connections."""
        for sock in self._blockers:
            sock.close()
        for writer in self._writers:
            writer.transport.abort()
        self._blockers.clear()
        self._writers.clear()

    async def _come_back(self, old_id: str) -> None:
        await asyncio.sleep(self._down_s)
        self.close()
        await self.start()
        await asyncio.sleep(max(0.0, 3.6 - self._down_s))
        self._store.remove("servers", old_id)
