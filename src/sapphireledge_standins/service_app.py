"""HTTP interface of the service stand-in."""

from __future__ import annotations

import asyncio
import os
from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from sapphireledge_standins.service_faults import ServiceFaults

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import Receive, Scope, Send

__all__ = ["ServiceApi"]

FAULT_EXIT_CODE = 70
"""Exit code of a process that dies by a fault."""

NO_KEY = "none"
"""Key under which calls without an idempotency key are counted."""


class ServiceApi:
    """Plain service that books and counts each run by its idempotency key."""

    def __init__(
        self,
        on_die: Callable[[], None] | None = None,
        on_refuse: Callable[[float], None] | None = None,
    ) -> None:
        """Creates a service without bookings.

        Args:
            on_die: Called to die by a fault; by default the process exits at once.
            on_refuse: Called to refuse connections for a number of seconds.
        """
        self.on_die = on_die or (lambda: os._exit(FAULT_EXIT_CODE))
        self.on_refuse = on_refuse or (lambda _seconds: None)
        self.faults = ServiceFaults()
        self.runs: dict[str, int] = defaultdict(int)
        """Runs by idempotency key."""

        self.calls = 0
        """Calls that arrived, whether they ran or not."""

        methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        self._app = Starlette(
            routes=[
                Route("/admin/faults", self.handle_faults, methods=["GET", "PUT"]),
                Route("/admin/counts", self.handle_counts),
                Route("/{path:path}", self.call, methods=methods),
            ]
        )

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """The ASGI application.

        It keeps the transport of uvicorn within reach, since ASGI itself has no way to close a
        connection without an answer.
        """
        if scope["type"] == "http":
            scope["transport"] = send.__self__.transport
        await self._app(scope, receive, send)

    async def call(self, request: Request) -> Response:
        """Runs a call once for each time it arrives: only the entry prevents a second run."""
        self.calls += 1
        await request.body()
        faults = self.faults
        if faults.error_status:
            return _json_response(faults.error_status, {"error": "as switched"})
        if request.method == "GET":
            return _json_response(200, {"bookings": sum(self.runs.values())})
        await asyncio.sleep(faults.delay_before)
        key = request.headers.get("idempotency-key", NO_KEY)
        self.runs[key] += 1
        if faults.die_after_run:
            self.on_die()
        await asyncio.sleep(faults.delay)
        if faults.lose_answer:
            return _LostResponse()
        booking = {"booking": sum(self.runs.values()), "key": key, "run": self.runs[key]}
        return _json_response(201, booking)

    async def handle_faults(self, request: Request) -> Response:
        """Shows or switches the faults."""
        if request.method == "PUT":
            try:
                self.faults = msgspec.json.decode(await request.body(), type=ServiceFaults)
            except msgspec.MsgspecError as exc:
                return _json_response(400, {"error": str(exc)})
            if self.faults.refuse_for:
                self.on_refuse(self.faults.refuse_for)
        return _json_response(200, self.faults)

    async def handle_counts(self, _request: Request) -> Response:
        """Answers the runs by key."""
        return _json_response(200, {"calls": self.calls, "runs": self.runs})


class _LostResponse(Response):
    """Closes the connection without an answer."""

    def __init__(self) -> None:
        self.background = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Ends without a response."""
        scope["transport"].abort()


def _json_response(status: int, body: Any) -> Response:
    """Builds a JSON answer."""
    return Response(msgspec.json.encode(body), status, media_type="application/json")
