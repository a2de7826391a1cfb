"""HTTP interface of the engine stand-in."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import msgspec
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from sapphireledge.backends.prefix_hashes import BLOCK_BYTES
from sapphireledge_standins.call_id_echo import CallIdEcho
from sapphireledge_standins.connection_gate import ConnectionGate
from sapphireledge_standins.engine_faults import EngineFaults
from sapphireledge_standins.engine_sequence import EngineSequence, Extension

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import Receive, Scope, Send

    from sapphireledge_standins.standin_engine import StandinEngine

__all__ = ["create_engine_app"]

DEFAULT_MAX_TOKENS = 64
"""Answer length in tokens if the request does not specify one."""

BUSY_RETRY_AFTER = "1"
"""Retry-After header of a busy engine, in seconds."""


def create_engine_app(engine: StandinEngine) -> ConnectionGate:
    """Builds the ASGI application of one engine.

    Args:
        engine: Engine to serve.

    Returns:
        The application, wrapped in the gate that simulates connection faults.
    """
    api = _EngineApi(engine)

    @asynccontextmanager
    async def lifespan(_app: Starlette) -> Any:
        load_recorder = asyncio.create_task(engine.record_load_reports())
        yield
        load_recorder.cancel()

    routes = [
        Route("/v1/chat/completions", api.handle_generate, methods=["POST"]),
        Route("/v1/completions", api.handle_generate, methods=["POST"]),
        Route("/v1/attempts/{attempt_id}", api.handle_attempt, methods=["GET", "DELETE"]),
        Route("/v1/load", api.handle_load),
        Route("/v1/cache-events", api.handle_cache_events),
        Route("/v1/orders", api.handle_orders, methods=["POST"]),
        Route("/admin/faults", api.handle_faults, methods=["GET", "PUT"]),
        Route("/admin/counts", api.handle_counts),
    ]
    api.gate = ConnectionGate(CallIdEcho(Starlette(routes=routes, lifespan=lifespan)))
    return api.gate


class _EngineApi:
    """Request handlers of one engine."""

    gate: ConnectionGate

    def __init__(self, engine: StandinEngine) -> None:
        self._engine = engine

    async def handle_generate(self, request: Request) -> Response:
        """Starts a generation or refuses it with an error."""
        engine = self._engine
        try:
            body = msgspec.json.decode(await request.body(), type=dict[str, Any])
            fields = body.get("sapphireledge") or _default_extension(engine)
            ext = msgspec.convert(fields, Extension)
            total = _requested_tokens(body)
        except (msgspec.MsgspecError, TypeError, ValueError) as exc:
            return self._refuse(400, "invalid_request", str(exc))
        existing = engine.attempts.get(ext.attempt_id)
        if existing is not None and existing.is_active:
            return self._refuse(409, "attempt_exists", "the attempt is live")
        if engine.faults.leaving:
            return self._refuse(503, "leaving", "the engine is shutting down")
        if (str(body.get("model", "")), ext.model_version) not in engine.models:
            return self._refuse(404, "unknown_model", "the model version is not loaded")
        if engine.faults.busy or engine.queued >= engine.options.queue_limit:
            return self._refuse(429, "busy", "no room in the queue")
        sequence = EngineSequence(body, ext, "messages" in body, total)
        engine.accept(sequence)
        return _StreamResponse(engine, sequence, self.gate)

    async def handle_attempt(self, request: Request) -> Response:
        """Returns the state of an attempt, cancelling it first on DELETE."""
        engine = self._engine
        attempt_id = request.path_params["attempt_id"]
        sequence = engine.attempts.get(attempt_id)
        if sequence is None:
            error = {"code": "unknown_attempt", "message": "the attempt is not known"}
            return _json_response(404, {"error": error, "boot_id": engine.boot_id})
        if request.method == "DELETE":
            engine.cancel(sequence)
        body = {
            "attempt_id": attempt_id,
            "state": sequence.state,
            "next_offset": sequence.next_offset,
            "boot_id": engine.boot_id,
        }
        return _json_response(200, body)

    async def handle_load(self, _request: Request) -> Response:
        """Returns the load report."""
        return _json_response(200, self._engine.load_report())

    async def handle_cache_events(self, request: Request) -> Response:
        """Returns a page of prefix cache events."""
        engine = self._engine
        after = request.query_params.get("after", "0")
        if not after.isdigit():
            return self._refuse(400, "invalid_request", "after is not a number")
        until = time.monotonic() - engine.faults.cache_event_lag
        page = engine.cache.page(int(after), until, engine.faults.cache_event_loss)
        return _json_response(200, {"boot_id": engine.boot_id, "block_bytes": BLOCK_BYTES, **page})

    async def handle_orders(self, request: Request) -> Response:
        """Executes an order."""
        try:
            order = msgspec.json.decode(await request.body(), type=dict[str, Any])
            status, body = await self._engine.order(order)
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
            return self._refuse(400, "invalid_request", repr(exc))
        return _json_response(status, body)

    async def handle_faults(self, request: Request) -> Response:
        """Returns the faults, replacing them first on PUT."""
        if request.method == "PUT":
            try:
                faults = msgspec.json.decode(await request.body(), type=EngineFaults)
            except msgspec.MsgspecError as exc:
                return self._refuse(400, "invalid_request", str(exc))
            self.gate.set_faults(faults.freeze, faults.silence_existing)
            self._engine.set_faults(faults)
        return _json_response(200, self._engine.faults)

    async def handle_counts(self, _request: Request) -> Response:
        """Returns counters of generations, refusals and orders."""
        return _json_response(200, self._engine.counts())

    def _refuse(self, status: int, code: str, message: str) -> Response:
        """Builds an error response and counts the refusal."""
        self._engine.refused[code] += 1
        headers = {"Retry-After": BUSY_RETRY_AFTER} if status == 429 else None
        return _json_response(status, {"error": {"code": code, "message": message}}, headers)


class _StreamResponse(Response):
    """Streams the output of one attempt; a closed connection cancels the attempt."""

    def __init__(
        self, engine: StandinEngine, sequence: EngineSequence, gate: ConnectionGate
    ) -> None:
        self._engine = engine
        self._sequence = sequence
        self._gate = gate
        self._disconnected = asyncio.Event()
        self.background = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Sends the response head immediately and each piece as it is generated."""
        sequence = self._sequence
        watcher = asyncio.create_task(self._watch_disconnect(receive))
        headers = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-cache")]
        software_version = self._engine.options.software_version
        if software_version:
            headers.append((b"x-software-version", software_version.encode()))
        head = {"type": "http.response.start", "status": 200, "headers": headers}
        try:
            await send(head)
            # uvicorn sends the head only with the first body part; an SSE comment triggers this.
            await send({"type": "http.response.body", "body": b":\n\n", "more_body": True})
            async for piece in self._engine.generate(sequence):
                if piece and not sequence.silent:
                    await self._gate.wait_unfrozen()
                    message = {"type": "http.response.body", "body": piece.encode()}
                    await send({**message, "more_body": True})
            if sequence.silent:
                await self._disconnected.wait()
            await send({"type": "http.response.body", "body": b""})
        finally:
            watcher.cancel()
            self._engine.cancel(sequence)

    async def _watch_disconnect(self, receive: Receive) -> None:
        """Cancels the attempt when the connection closes."""
        with suppress(asyncio.CancelledError):
            while (await receive())["type"] != "http.disconnect":
                pass
            self._disconnected.set()
            self._engine.cancel(self._sequence)


def _default_extension(engine: StandinEngine) -> dict[str, Any]:
    """Builds an extension for requests without one, sent by plain clients of the common API."""
    request_id = f"plain-{len(engine.requests)}"
    version = engine.options.version
    return {"attempt_id": f"{request_id}.1", "request_id": request_id, "model_version": version}


def _requested_tokens(body: dict[str, Any]) -> int:
    """Reads the requested answer length in tokens."""
    requested = body.get("max_completion_tokens") or body.get("max_tokens") or DEFAULT_MAX_TOKENS
    return max(1, int(requested))


def _json_response(status: int, body: Any, headers: dict[str, str] | None = None) -> Response:
    """Builds a JSON response."""
    data = msgspec.json.encode(body)
    return Response(data, status, headers, media_type="application/json")
