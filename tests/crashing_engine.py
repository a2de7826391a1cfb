"""Scripted engine that crashes when it begins to answer certain prompts, and starts again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gateway_case import ScriptedServer, chunk, event, stream_head

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway_case import ReceivedRequest

PROMPT_TIME = 0.02
"""Seconds between a request and the head of its answer."""

CRASH_TIME = 0.01
"""Seconds between the head of an answer and the crash that its prompt causes."""

EVENT_TIME = 0.05
"""Seconds between two events; with `EVENTS`, an answer outlasts the time in which engines crash."""

EVENTS = 8
"""Events of an answer."""

RESTART_TIME = 0.1
"""Seconds between a crash and the next start, under another id and at another port."""


class CrashingEngine:
    """An engine that loses all its connections whenever it begins to answer a bad prompt."""

    def __init__(
        self,
        name: str,
        is_bad: Callable[[ReceivedRequest], bool],
        on_started: Callable[[ScriptedServer], None],
        on_ended: Callable[[ScriptedServer], None],
    ) -> None:
        """Creates an engine that is down.

        Args:
            name: Prefix of its ids.
            is_bad: Returns whether a request crashes the engine.
            on_started: Called with each incarnation once it listens.
            on_ended: Called with each incarnation once it is gone.
        """
        self.crashes: list[float] = []
        """Event loop times of the crashes in seconds."""

        self.arrivals: list[tuple[float, ReceivedRequest]] = []
        """All requests that reached the engine, with event loop times in seconds."""

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
        """Stops the engine for good."""
        if self._restart is not None:
            self._restart.cancel()
        if self._server is not None:
            self._server.stop()

    async def _handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        self.arrivals.append((loop.time(), request))
        self._writers.add(writer)
        await asyncio.sleep(PROMPT_TIME)
        writer.write(stream_head(request))
        await writer.drain()
        if self._is_bad(request):
            await asyncio.sleep(CRASH_TIME)
            self._crash(loop.time())
            return
        first = int(request.headers.get("last-event-id", "-1")) + 1
        for number in range(first, EVENTS):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_TIME)
        writer.write(b"0\r\n\r\n")
        self._writers.discard(writer)

    def _crash(self, now: float) -> None:
        """Resets every connection, stops listening and starts again later."""
        server = self._server
        if server is None:
            return
        self.crashes.append(now)
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
