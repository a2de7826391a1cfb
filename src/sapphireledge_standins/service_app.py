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

from sapphireledge_standins.call_id_echo import CallIdEcho
from sapphireledge_standins.service_faults import ServiceFaults

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import Receive, Scope, Send

__all__ = ["ServiceApi"]

FAULT_EXIT_CODE = 70
"""Exit code of a process that an injected fault ends."""

NO_KEY = "none"
"""Key under which calls without an idempotency key are counted."""


class ServiceApi:
    """Booking service that counts executions per idempotency key without deduplicating them."""

    def __init__(
        self,
        on_crash: Callable[[], None] | None = None,
        on_refuse: Callable[[float], None] | None = None,
    ) -> None:
        """Creates a service without bookings.

        Args:
            on_crash: Called when a fault ends the service; by default the process exits at once.
            on_refuse: Called with the number of seconds for which to refuse connections.
        """
        self.on_crash = on_crash or (lambda: os._exit(FAULT_EXIT_CODE))
        self.on_refuse = on_refuse or (lambda _seconds: None)
        self.faults = ServiceFaults()
        self.runs: dict[str, int] = defaultdict(int)
        """Number of executions by idempotency key."""

        self.calls = 0
        """Number of calls received, whether executed or not."""

        methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        routes = [
            Route("/admin/faults", self.handle_faults, methods=["GET", "PUT"]),
            Route("/admin/counts", self.handle_counts),
            Route("/{path:path}", self.call, methods=methods),
        ]
        self._app = CallIdEcho(Starlette(routes=routes))

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """ASGI application that adds uvicorn's transport to the scope.

        ASGI itself has no way to close a connection without a response.
        """
        if scope["type"] == "http":
            scope["transport"] = send.__self__.transport
        await self._app(scope, receive, send)

    async def call(self, request: Request) -> Response:
        """Executes a call each time it arrives; preventing duplicates is left to the entry."""
        self.calls += 1
        await request.body()
        faults = self.faults
        if faults.error_status:
            return _json_response(faults.error_status, {"error": "the error_status fault is set"})
        if request.method == "GET":
            return _json_response(200, {"bookings": sum(self.runs.values())})
        await asyncio.sleep(faults.delay_before)
        key = request.headers.get("idempotency-key", NO_KEY)
        self.runs[key] += 1
        if faults.die_after_run:
            self.on_crash()
        await asyncio.sleep(faults.delay)
        if faults.lose_answer:
            return _LostResponse()
        booking = {"booking": sum(self.runs.values()), "key": key, "run": self.runs[key]}
        return _json_response(201, booking)

    async def handle_faults(self, request: Request) -> Response:
        """Returns the faults, replacing them first on PUT."""
        if request.method == "PUT":
            try:
                self.faults = msgspec.json.decode(await request.body(), type=ServiceFaults)
            except msgspec.MsgspecError as exc:
                return _json_response(400, {"error": str(exc)})
            if self.faults.refuse_for:
                self.on_refuse(self.faults.refuse_for)
        return _json_response(200, self.faults)

    async def handle_counts(self, _request: Request) -> Response:
        """Returns the number of calls received and of executions by key."""
        return _json_response(200, {"calls": self.calls, "runs": self.runs})


class _LostResponse(Response):
    """Response that closes the connection without sending anything."""

    def __init__(self) -> None:
        self.background = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Aborts the transport."""
        scope["transport"].abort()


def _json_response(status: int, body: Any) -> Response:
    """Builds a JSON response."""
    return Response(msgspec.json.encode(body), status, media_type="application/json")
