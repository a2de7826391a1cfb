"""Scripted backend server that crashes under certain requests, and starts again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gateway_case import ScriptedServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway_case import ReceivedRequest

RESTART_TIME = 0.1
"""Seconds between a crash and the next start, under another id and at another port."""


class CrashingServer:
    """A server that loses all its connections whenever it runs a bad request.

    Subclasses implement `answer`.
    """

    def __init__(
        self,
        name: str,
        is_bad: Callable[[ReceivedRequest], bool],
        on_started: Callable[[ScriptedServer], None],
        on_ended: Callable[[ScriptedServer], None],
    ) -> None:
        """Creates a server that is down.

        Args:
            name: Prefix of its ids.
            is_bad: Returns whether a request crashes the server.
            on_started: Called with each incarnation once it listens.
            on_ended: Called with each incarnation once it is gone.
        """
        self.crashes: list[float] = []
        """Event loop times of the crashes in seconds."""

        self.arrivals: list[tuple[float, ReceivedRequest]] = []
        """All requests that reached the server, with event loop times in seconds."""

        self._name = name
        self._is_bad = is_bad
        self._on_started = on_started
        self._on_ended = on_ended
        self._server: ScriptedServer | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the next incarnation."""
        server = ScriptedServer(f"{self._name}-{len(self.crashes)}", self._handle)
        await server.start()
        self._server = server
        self._on_started(server)

    async def stop(self) -> None:
        """Stops the server for good."""
        if self._restart is not None:
            self._restart.cancel()
        if self._server is not None:
            self._server.stop()

    async def answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Answers a request; calls `crash_if_bad` when the server begins to run it.

        Args:
            request: The request.
            writer: Connection of the caller.
        """
        raise NotImplementedError

    def crash_if_bad(self, request: ReceivedRequest) -> bool:
        """Crashes the server if it runs a bad request.

        Args:
            request: The request.

        Returns:
            Whether the server has crashed.
        """
        if self._is_bad(request):
            self.crash()
            return True
        return False

    async def _handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        self.arrivals.append((asyncio.get_running_loop().time(), request))
        self._writers.add(writer)
        await self.answer(request, writer)
        self._writers.discard(writer)

    def crash(self) -> None:
        """Resets every connection, stops listening and starts again later."""
        server = self._server
        if server is None:
            return
        self.crashes.append(asyncio.get_running_loop().time())
        self._server = None
        server.stop()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self._on_ended(server)
        self._restart = asyncio.create_task(self._start_later())

    async def _start_later(self) -> None:
        await asyncio.sleep(RESTART_TIME)
        await self.start()
