"""Platform stand-in: object API and instance list with injectable faults.

docs/platform-api.md describes the protocol.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import Counter
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import typer
import uvicorn
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from sapphireledge_standins._platform_faults import FaultMode, PlatformFaults
from sapphireledge_standins._platform_instances import InstanceList, InstanceRow
from sapphireledge_standins._platform_objects import ObjectTable

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import Receive, Scope, Send

    from sapphireledge_standins._platform_objects import WriteResult

__all__ = ["PlatformServer", "create_server", "main"]

MAX_VALUE_BYTES = 1_048_576
"""Maximum size of a value in bytes."""

MAX_LIST_LIMIT = 1_000
"""Maximum number of objects per page."""

MAX_PAGE_BYTES = 4_194_304
"""Total size of values in bytes after which a page ends."""

MAX_WAIT = 300.0
"""Maximum wait of one watch, and of a write whose response is lost by hanging, in seconds."""


class _TruncatedResponse(Response):
    """Response that ends the connection before it is complete."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        # The announced body is never sent, so the server closes the connection.
        headers = [(b"content-length", b"1")]
        await send({"type": "http.response.start", "status": 502, "headers": headers})


class PlatformServer:
    """State and request handlers of the platform stand-in."""

    def __init__(self, history_writes: int = 10_000, history_bytes: int = 67_108_864):
        self.objects = ObjectTable(history_writes, history_bytes)
        self.instances = InstanceList()
        self.counts: Counter[str] = Counter()
        self.faults = PlatformFaults()
        self._rng = random.Random(0)
        self._changed = asyncio.Event()

    def create_app(self) -> Starlette:
        """Builds the ASGI application.

        Returns:
            The Starlette application.
        """
        key = "/objects/{key:path}"
        return Starlette(
            routes=[
                Route("/objects", self._list, methods=["GET"]),
                Route(key, self._get, methods=["GET"]),
                Route(key, self._put, methods=["PUT"]),
                Route(key, self._delete, methods=["DELETE"]),
                Route("/watch", self._watch, methods=["GET"]),
                Route("/instances", self._instances, methods=["GET"]),
                Route("/admin/instances", self._set_instances, methods=["PUT"]),
                Route("/admin/faults", self._set_faults, methods=["PUT"]),
                Route("/admin/faults", self._show_faults, methods=["GET"]),
                Route("/admin/counts", self._show_counts, methods=["GET"]),
                Route("/admin/counts", self._reset_counts, methods=["DELETE"]),
            ]
        )

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replaces the faults and wakes waiting calls, which then check the new ones.

        Args:
            faults: New faults.
        """
        self.faults = faults
        self._rng = random.Random(faults.seed)
        self._notify_waiters()

    async def _get(self, request: Request) -> Response:
        """Reads one object."""
        if (failure := await self._begin_call(request, "get")) is not None:
            return failure
        row = self.objects.get(request.path_params["key"])
        await asyncio.sleep(self.faults.delay)
        if row is None:
            return _json_response({"version": 0}, 404)
        headers = {"X-Version": str(row.version)}
        return Response(row.value, 200, headers, "application/octet-stream")

    async def _put(self, request: Request) -> Response:
        """Writes one object."""
        value = await request.body()
        if (failure := await self._begin_call(request, "put")) is not None:
            return failure
        if len(value) > MAX_VALUE_BYTES:
            return _json_response({"error": f"value exceeds {MAX_VALUE_BYTES} bytes"}, 413)
        if (expected := _expected_version(request)) is None:
            return _json_response({"error": "X-Expect-Version is missing or not a number"}, 400)
        return await self._answer_write(
            self.objects.put(request.path_params["key"], value, expected)
        )

    async def _delete(self, request: Request) -> Response:
        """Deletes one object."""
        if (failure := await self._begin_call(request, "delete")) is not None:
            return failure
        if (expected := _expected_version(request)) is None:
            return _json_response({"error": "X-Expect-Version is missing or not a number"}, 400)
        return await self._answer_write(self.objects.delete(request.path_params["key"], expected))

    async def _answer_write(self, answer: WriteResult) -> Response:
        """Responds to a write unless a fault drops the response."""
        faults = self.faults
        if answer.written:
            self._notify_waiters()
        lost = self._rng.random() < faults.lose_answers
        if faults.lose_next_writes > 0:
            lost = True
            self.faults = msgspec.structs.replace(
                faults, lose_next_writes=faults.lose_next_writes - 1
            )
        if lost and faults.lose_mode is FaultMode.HANG:
            await asyncio.sleep(MAX_WAIT)
        if lost:
            return _TruncatedResponse()
        await asyncio.sleep(faults.delay)
        return _json_response({"version": answer.version}, 200 if answer.written else 409)

    async def _list(self, request: Request) -> Response:
        """Lists objects, in pages limited by count and total size."""
        if (failure := await self._begin_call(request, "list")) is not None:
            return failure
        query = request.query_params
        limit = max(1, min(int(query.get("limit", MAX_LIST_LIMIT)), MAX_LIST_LIMIT))
        page = self.objects.list(query.get("prefix", ""), query.get("after", ""), limit)
        page_bytes = 0
        for index, row in enumerate(page.objects[:-1]):
            page_bytes += len(row.value)
            if page_bytes > MAX_PAGE_BYTES:
                page = msgspec.structs.replace(
                    page, objects=page.objects[: index + 1], next_after=row.key
                )
                break
        await asyncio.sleep(self.faults.delay)
        return _json_response(page)

    async def _watch(self, request: Request) -> Response:
        """Waits for writes to keys with a prefix."""
        if (failure := await self._begin_call(request, "watch")) is not None:
            return failure
        query = request.query_params
        prefix, from_version = query.get("prefix", ""), int(query.get("from", 0))
        end = time.monotonic() + min(float(query.get("wait", 0)), MAX_WAIT)
        while True:
            if (failure := await self._apply_faults(request)) is not None:
                return failure
            part = self.objects.since(prefix, from_version)
            if part is None:
                return _json_response({"version": self.objects.version}, 410)
            remaining = end - time.monotonic()
            if part.objects or remaining <= 0:
                await asyncio.sleep(self.faults.delay)
                return _json_response(part)
            from_version = part.version
            await self._wait_for_change(remaining)

    async def _instances(self, request: Request) -> Response:
        """Returns the instance list as it was `instance_lag` seconds ago."""
        if (failure := await self._begin_call(request, "instances")) is not None:
            return failure
        rows = self.instances.snapshot(time.monotonic(), self.faults.instance_lag)
        await asyncio.sleep(self.faults.delay)
        return _json_response({"instances": rows})

    async def _set_instances(self, request: Request) -> Response:
        """Replaces the instance list."""
        try:
            rows = msgspec.json.decode(await request.body(), type=list[InstanceRow])
        except msgspec.DecodeError as exc:
            return _json_response({"error": str(exc)}, 400)
        self.instances.set(time.monotonic(), rows)
        return _json_response({})

    async def _set_faults(self, request: Request) -> Response:
        """Replaces the faults."""
        try:
            self.set_faults(msgspec.json.decode(await request.body(), type=PlatformFaults))
        except msgspec.DecodeError as exc:
            return _json_response({"error": str(exc)}, 400)
        return _json_response(self.faults)

    async def _show_faults(self, request: Request) -> Response:
        """Returns the current faults."""
        return _json_response(self.faults)

    async def _show_counts(self, request: Request) -> Response:
        """Returns the number of calls by kind."""
        return _json_response(self.counts)

    async def _reset_counts(self, request: Request) -> Response:
        """Resets the call counters."""
        self.counts.clear()
        return _json_response({})

    async def _begin_call(self, request: Request, kind: str) -> Response | None:
        """Counts a call and applies faults; returns a response if they make the call fail."""
        self.counts[kind] += 1
        return await self._apply_faults(request)

    async def _apply_faults(self, request: Request) -> Response | None:
        """Applies faults to a call; returns None if the call may proceed."""
        headers = request.headers
        client = headers.get("X-Instance", ""), headers.get("X-Data-Centre", "")
        while (mode := self.faults.mode_for(*client)) is FaultMode.HANG:
            await self._wait_for_change(MAX_WAIT)
        if mode is FaultMode.REFUSE:
            return _json_response({"error": "unavailable"}, 503)
        return _TruncatedResponse() if mode is FaultMode.CLOSE else None

    async def _wait_for_change(self, limit: float) -> None:
        """Waits for the next write or change of the faults, for at most `limit` seconds."""
        try:
            async with asyncio.timeout(limit):
                await self._changed.wait()
        except TimeoutError:
            return

    def _notify_waiters(self) -> None:
        """Wakes all waiting calls."""
        self._changed.set()
        self._changed = asyncio.Event()


def _json_response(value: Any, status: int = 200) -> Response:
    """Builds a JSON response."""
    return Response(msgspec.json.encode(value), status, media_type="application/json")


def _expected_version(request: Request) -> int | None:
    """Reads the expected version of a write; None if the header is missing or malformed."""
    text = request.headers.get("X-Expect-Version", "")
    return int(text) if text.isdecimal() else None


def create_server(platform: PlatformServer) -> uvicorn.Server:
    """Builds the server of the stand-in; `serve(sockets=[...])` starts it.

    Args:
        platform: Platform stand-in to serve.

    Returns:
        A uvicorn server with the asyncio event loop and h11.
    """
    config = uvicorn.Config(
        platform.create_app(),
        loop="asyncio",
        http="h11",
        lifespan="off",
        log_level="critical",
        access_log=False,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=1,
    )
    return uvicorn.Server(config)


def main() -> None:
    """Runs the stand-in from the command line."""
    typer.run(_run)


def _run(
    host: Annotated[str, typer.Option(help="IP address to bind.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="TCP port, 0 for any free one.")] = 0,
    history_writes: Annotated[
        int, typer.Option(help="Number of writes kept for watches.")
    ] = 10_000,
    history_bytes: Annotated[
        int, typer.Option(help="Total size of these writes in bytes.")
    ] = 67_108_864,
) -> None:
    """Runs a platform stand-in that keeps its data in memory."""
    sock = socket.create_server((host, port), backlog=2_048)
    bound = sock.getsockname()
    typer.echo(f"listening on {bound[0]}:{bound[1]}")

    async def serve() -> None:
        platform = PlatformServer(history_writes, history_bytes)
        await create_server(platform).serve(sockets=[sock])

    asyncio.run(serve())


if __name__ == "__main__":
    main()
