"""HTTP interface for callers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec
import structlog
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect
from starlette.responses import Response
from starlette.routing import Route

from sapphireledge.entry.answer_format import build_failure_headers, encode_failure
from sapphireledge.entry.authenticate import authenticate, authorize_rank
from sapphireledge.entry.generation_session import GenerationSession
from sapphireledge.entry.json_memory import estimate_json_memory
from sapphireledge.entry.parse_request import parse_request
from sapphireledge.entry.service_session import ServiceSession
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from starlette.requests import Request

    from sapphireledge.core.declarations import Workspace
    from sapphireledge.entry.entry_parts import EntryParts

__all__ = ["create_app"]

SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
"""HTTP methods that are forwarded to plain services."""

NO_MEMORY_RETRY_AFTER = 1.0
"""Seconds after which a request for which no memory was left may be sent again."""


def create_app(parts: EntryParts) -> Starlette:
    """Creates the ASGI application of the caller interface.

    Args:
        parts: Components of the instance.

    Returns:
        The Starlette application.
    """
    api = _CallerApi(parts)
    return Starlette(
        routes=[
            Route("/v1/chat/completions", api.chat, methods=["POST"]),
            Route("/v1/completions", api.completion, methods=["POST"]),
            Route("/v1/models", api.models, methods=["GET"]),
            Route("/v1/services/{service}/{path:path}", api.service, methods=SERVICE_METHODS),
            Route("/v1/services/{service}", api.service, methods=SERVICE_METHODS),
            Route("/healthz", api.health, methods=["GET"]),
            Route("/readyz", api.ready, methods=["GET"]),
        ]
    )


class _CallerApi:
    """Request handlers of the caller interface."""

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._log = structlog.get_logger()

    async def health(self, request: Request) -> Response:
        """Liveness check: responds with 200 while the process runs."""
        return _create_json_response({"state": self._parts.lifecycle.state})

    async def ready(self, request: Request) -> Response:
        """Readiness check: responds with 200 if the load balancer should send new requests."""
        ready = self._parts.lifecycle.is_available
        return _create_json_response({"state": self._parts.lifecycle.state}, 200 if ready else 503)

    async def models(self, request: Request) -> Response:
        """Lists the declared models."""
        names = sorted({d.model for d in self._parts.config.deployments.values()})
        return _create_json_response(
            {"object": "list", "data": [{"id": n, "object": "model"} for n in names]}
        )

    async def chat(self, request: Request) -> Response:
        """Serves a chat completion."""
        return await self._handle_faults(request, self._serve_generation(request, True))

    async def completion(self, request: Request) -> Response:
        """Serves a text completion."""
        return await self._handle_faults(request, self._serve_generation(request, False))

    async def service(self, request: Request) -> Response:
        """Forwards a call to a plain service."""
        return await self._handle_faults(request, self._serve_call(request))

    async def _serve_generation(self, request: Request, chat: bool) -> Response:
        """Validates a generation request and serves it."""
        refused = self._check_lifecycle()
        if refused is not None and "last-event-id" not in request.headers:
            return _create_error_response(refused)
        workspace = self._authenticate(request)
        if isinstance(workspace, Failure):
            return _create_error_response(workspace)
        data = await _read_body(request, self._parts.cfg.callers.max_body)
        if isinstance(data, Failure):
            return _create_error_response(data)
        if not _reserve_json_memory(request, data):
            return _create_error_response(_create_no_memory_failure())
        req = parse_request(request.headers, data, chat, workspace.name, self._parts.cfg.callers)
        if isinstance(req, Failure):
            return _create_error_response(req)
        forbidden = authorize_rank(workspace, req.rank)
        if forbidden is not None:
            return _create_error_response(forbidden)
        if req.rank not in self._parts.config.ranks:
            reason = f"X-Rank: {req.rank!r} is not declared"
            return _create_error_response(Failure(ErrorKind.INVALID_REQUEST, reason))
        session = GenerationSession(self._parts, req, "x-request-id" in request.headers)
        return await _cancel_on_disconnect(request, session.respond())

    async def _serve_call(self, request: Request) -> Response:
        """Checks a call to a plain service and forwards it."""
        refused = self._check_lifecycle()
        if refused is not None:
            return _create_error_response(refused)
        workspace = self._authenticate(request)
        if isinstance(workspace, Failure):
            return _create_error_response(workspace)
        data = await _read_body(request, self._parts.cfg.callers.max_body)
        if isinstance(data, Failure):
            return _create_error_response(data)
        # Not cancelled when the caller disconnects: the outcome of the call must be recorded.
        return await ServiceSession(self._parts, workspace).respond(request, data)

    def _authenticate(self, request: Request) -> Workspace | Failure:
        """Authenticates the caller and returns its workspace."""
        config = self._parts.config
        return authenticate(
            request.headers, config.workspaces, config.index.token_owners, self._parts.cfg.callers
        )

    def _check_lifecycle(self) -> Failure | None:
        """Rejects new work before the instance is configured and while it drains."""
        return self._parts.lifecycle.refuse_new_work()

    async def _handle_faults(
        self, request: Request, work: Coroutine[Any, Any, Response]
    ) -> Response:
        """Converts an unexpected exception into an error response of kind `internal`."""
        try:
            return await work
        except asyncio.CancelledError:
            raise
        except ClientDisconnect:
            # Never sent: the caller has disconnected before its request was complete.
            return Response(status_code=499)
        except Exception:
            self._log.exception(LogEvent.INTERNAL_ERROR, path=request.url.path)
            reason = "the instance failed"
            return _create_error_response(Failure(ErrorKind.INTERNAL, reason, Ran.UNKNOWN))


async def _cancel_on_disconnect(request: Request, work: Coroutine[Any, Any, Response]) -> Response:
    """Runs a handler and cancels it if the caller disconnects before the response is ready."""
    task = asyncio.ensure_future(work)
    disconnect = asyncio.ensure_future(_wait_for_disconnect(request))
    try:
        await asyncio.wait({task, disconnect}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            # Never sent: the caller has disconnected.
            return Response(status_code=499)
        return await task
    finally:
        disconnect.cancel()
        if not task.done():
            task.cancel()


async def _wait_for_disconnect(request: Request) -> None:
    """Waits until the caller closes the connection."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


async def _read_body(request: Request, limit: int) -> bytes | Failure:
    """Reads the request body, which must not exceed the limit."""
    length = request.headers.get("content-length", "")
    if length.isdecimal() and int(length) > limit:
        return _create_too_large_failure(limit)
    data = bytearray()
    async for part in request.stream():
        data += part
        if len(data) > limit:
            return _create_too_large_failure(limit)
    return bytes(data)


def _reserve_json_memory(request: Request, data: bytes) -> bool:
    """Takes memory for the values of a JSON body; returns whether there was any."""
    connection = getattr(request.state, "connection", None)
    if connection is None:
        return True
    return connection.try_reserve(estimate_json_memory(data))


def _create_no_memory_failure() -> Failure:
    """Creates the failure for a request for which no memory is left."""
    reason = "no memory is left for requests"
    return Failure(ErrorKind.OVERLOADED, reason, retry_after=NO_MEMORY_RETRY_AFTER)


def _create_too_large_failure(limit: int) -> Failure:
    """Creates the failure for a request body that exceeds the limit."""
    return Failure(ErrorKind.TOO_LARGE, f"body: must be at most {limit} bytes")


def _create_error_response(failure: Failure) -> Response:
    """Creates the HTTP response for a failure."""
    return Response(
        encode_failure(failure),
        failure.answer.http_status,
        build_failure_headers(failure),
        media_type="application/json",
    )


def _create_json_response(value: Any, status: int = 200) -> Response:
    """Creates a JSON response."""
    return Response(msgspec.json.encode(value), status, media_type="application/json")
