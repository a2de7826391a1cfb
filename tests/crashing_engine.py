"""Scripted engine that crashes when it begins to answer certain prompts, and starts again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crashing_server import CrashingServer
from gateway_case import chunk, event, stream_head

if TYPE_CHECKING:
    from gateway_case import ReceivedRequest

PROMPT_TIME = 0.02
"""Seconds between a request and the head of its answer."""

CRASH_TIME = 0.01
"""Seconds between the head of an answer and the crash that its prompt causes."""

EVENT_TIME = 0.05
"""Seconds between two events; with `EVENTS`, an answer outlasts the time in which engines crash."""

EVENTS = 8
"""Events of an answer."""


class CrashingEngine(CrashingServer):
    """An engine that crashes whenever it begins to answer a bad prompt."""

    async def answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Streams the answer; see `CrashingServer.answer`."""
        await asyncio.sleep(PROMPT_TIME)
        writer.write(stream_head(request))
        await writer.drain()
        await asyncio.sleep(CRASH_TIME)
        if self.crash_if_bad(request):
            return
        first = int(request.headers.get("last-event-id", "-1")) + 1
        for number in range(first, EVENTS):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_TIME)
        writer.write(b"0\r\n\r\n")
