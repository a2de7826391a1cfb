"""Scripted plain server that crashes while it runs certain requests, and starts again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crashing_server import CrashingServer
from gateway_case import REQUEST_ID, full_response, signed_response

if TYPE_CHECKING:
    from gateway_case import ReceivedRequest

RUN_TIME = 0.02
"""Seconds that a request takes."""


class CrashingPlainServer(CrashingServer):
    """A plain server that crashes in the middle of a bad request."""

    async def answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Answers after half of the time if the request is bad, with a crash."""
        await asyncio.sleep(RUN_TIME / 2)
        if self.crash_if_bad(request):
            return
        await asyncio.sleep(RUN_TIME / 2)
        if REQUEST_ID in request.headers:
            writer.write(signed_response(request))
        else:
            writer.write(full_response(200, {}, b"ok"))
