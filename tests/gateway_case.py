"""Test case with a gateway on the loopback interface in front of scripted backend servers."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import h11
import msgspec

from sapphireledge.gateway import (
    BackendServer,
    Gateway,
    GatewayMetrics,
    GatewaySettings,
    ReplayRule,
    RequestTelemetry,
    Route,
    RoutingTable,
    ServiceProfile,
    WorkspaceKey,
    seconds_since_boot,
)
from sapphireledge.platform.platform_dialect import PlatformDialect

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOST = "127.0.0.1"
KEY = "k1"
SEAL = "x-sapphireledge-server-seal"
REQUEST_ID = "x-sapphireledge-request-id"

PLAIN_ROUTE = Route(
    "r-plain", "svc.example", "/plain/", ReplayRule.IDEMPOTENT, 2.0, 0.4, 2, (("app", 1.0),), 3
)
ONCE_ROUTE = replace(PLAIN_ROUTE, name="r-once", path_prefix="/once/", replay=ReplayRule.ONCE)
STREAM_ROUTE = replace(
    PLAIN_ROUTE,
    name="r-stream",
    path_prefix="/stream/",
    replay=ReplayRule.EVENT_STREAM,
    services=(("llm", 1.0),),
    time_limit=8.0,
    target=4.0,
    resumable=True,
    max_attempts=5,
)
NON_RESUMABLE_ROUTE = replace(
    STREAM_ROUTE, name="r-non-resumable", path_prefix="/non-resumable/", resumable=False
)


def table(version: int = 1) -> RoutingTable:
    """Builds the routing table used by the tests."""
    routes = (NON_RESUMABLE_ROUTE, STREAM_ROUTE, PLAIN_ROUTE, ONCE_ROUTE)
    return RoutingTable(
        version=version,
        routes={"svc.example": tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))},
        services={
            "app": ServiceProfile("app"),
            "llm": ServiceProfile("llm", can_replicate=True),
        },
        keys={KEY: WorkspaceKey("court")},
        keys_required=True,
    )


@dataclass
class ReceivedRequest:
    """A request received by a scripted server."""

    method: bytes
    target: bytes
    headers: dict[str, str]
    body: bytes


@dataclass
class CallerResponse:
    """A response received by a caller."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


class ScriptedServer:
    """A backend server whose responses are written by a handler function.

    Queries for the load report and the cache listing are not passed to the handler.
    """

    def __init__(self, server_id: str, handle: Callable[..., Awaitable[None]]) -> None:
        self.server_id = server_id
        self.handle = handle
        self.received: list[ReceivedRequest] = []
        self.closed = 0
        self.load = {"waiting": 0, "running": 0, "runs": []}
        self.report_headers: dict[str, str] = {}
        self.cached_parts: list[str] = []
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listens on a port, by default a free one."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def paths(self) -> list[bytes]:
        """Lists the paths of the received requests, except load report and cache queries."""
        return [request.target for request in self.received]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = h11.Connection(h11.SERVER)
        try:
            while True:
                request = await self._read(parser, reader)
                if request is None:
                    break
                if not await self._serve_engine_query(request, writer):
                    self.received.append(request)
                    await self.handle(request, writer)
                if writer.is_closing():
                    break
                parser = _next_parser(parser)
        except (ConnectionError, h11.ProtocolError):
            self.closed += 1
        else:
            self.closed += 1
        finally:
            writer.close()

    async def _serve_engine_query(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Responds to queries for the load report and the cached prompt parts."""
        if request.target == b"/report":
            writer.write(full_response(200, self.report_headers, encode_json(self.load)))
        elif request.target == b"/kv-list":
            cached_parts = [["", part, 100, "m"] for part in self.cached_parts]
            writer.write(
                full_response(200, {}, encode_json({"epoch": 1, "next": 1, "held": cached_parts}))
            )
        else:
            return False
        await writer.drain()
        return True

    async def _read(
        self, parser: h11.Connection, reader: asyncio.StreamReader
    ) -> ReceivedRequest | None:
        head, body = None, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                headers = {n.decode(): v.decode() for n, v in head.headers}
                return ReceivedRequest(head.method, head.target, headers, body)
            else:
                return None


def _next_parser(parser: h11.Connection) -> h11.Connection:
    """Creates a parser for the next request, fed with the bytes that have not been parsed yet."""
    next_parser = h11.Connection(h11.SERVER)
    unparsed = parser.trailing_data[0]
    if unparsed:
        next_parser.receive_data(unparsed)
    return next_parser


def encode_json(value: object) -> bytes:
    """Encodes a value as a JSON body."""
    return msgspec.json.encode(value)


def full_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Builds the bytes of a complete response."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def signed_response(request: ReceivedRequest, body: bytes = b"ok", status: int = 200) -> bytes:
    """Builds a complete, signed response to a request."""
    return full_response(status, {REQUEST_ID: request.headers[REQUEST_ID], SEAL: "s"}, body)


def stream_head(request: ReceivedRequest, seal: str = "s") -> bytes:
    """Builds the head of a streamed, signed response."""
    return (
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
        f"{REQUEST_ID}: {request.headers[REQUEST_ID]}\r\n{SEAL}: {seal}\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Frames bytes as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    """Builds the bytes of one server-sent event."""
    return f"id: {number}\ndata: t{number}\n\n".encode()


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """Starts a gateway and scripted servers for each test."""

    async def asyncSetUp(self) -> None:
        self.cfg = GatewaySettings(
            instance="e1",
            data_centre="dc-a",
            listen_host=HOST,
            listen_port=0,
            ready_host=HOST,
            ready_port=0,
            metrics_port=0,
            max_config_age=3.8,
            stop_limit=8.0,
        )
        self.gateway = Gateway(self.cfg, PlatformDialect(), RequestTelemetry(GatewayMetrics()))
        self.gateway.config.accept(table())
        self.gateway.config.confirm(seconds_since_boot())
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self.gateway.create_protocol, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]
        self.servers: list[ScriptedServer] = []
        self._count = 0

    async def asyncTearDown(self) -> None:
        self._listener.close()
        self.gateway.context.pool.close()
        for server in self.servers:
            server.stop()

    async def add(
        self,
        service: str,
        handle: Callable[..., Awaitable[None]],
        data_centre: str = "dc-a",
        draining: bool = False,
    ) -> ScriptedServer:
        """Starts a scripted server and registers it."""
        server = ScriptedServer(f"s{len(self.servers)}", handle)
        await server.start()
        self.servers.append(server)
        self.register(server, service, data_centre, draining)
        return server

    def register(
        self,
        server: ScriptedServer,
        service: str,
        data_centre: str = "dc-a",
        draining: bool = False,
    ) -> None:
        """Adds a server to the gateway's registry, or updates it there."""
        self.gateway.context.registry.put(
            BackendServer(
                server.server_id, service, HOST, server.port, data_centre, draining=draining
            )
        )

    def head(self, path: str, method: str = "POST", **extra: str) -> bytes:
        """Builds the head of a caller's request, without body framing and the final blank line."""
        self._count += 1
        headers = {
            "host": "svc.example",
            "x-sapphireledge-request-id": f"id{self._count}",
            "x-sapphireledge-deadline-ms": "5000",
            "authorization": f"Token {KEY}",
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items() if v)]
        return ("\r\n".join(lines) + "\r\n").encode()

    async def call(self, path: str, body: bytes = b"x", **extra: str) -> CallerResponse:
        """Sends one request on a new connection and reads the response."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(self.head(path, **extra) + f"content-length: {len(body)}\r\n\r\n".encode())
        writer.write(body)
        try:
            return await read_response(reader)
        finally:
            writer.close()


async def read_response(reader: asyncio.StreamReader) -> CallerResponse:
    """Reads one response; if it is truncated, it is not marked as complete."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="POST", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    response = CallerResponse()
    try:
        while True:
            part = parser.next_event()
            if part is h11.NEED_DATA:
                parser.receive_data(await asyncio.wait_for(reader.read(65536), 10))
            elif isinstance(part, h11.Response):
                response.status = part.status_code
                response.headers = {n.decode(): v.decode() for n, v in part.headers}
            elif isinstance(part, h11.Data):
                response.body += bytes(part.data)
            elif isinstance(part, h11.EndOfMessage):
                response.complete = True
                return response
            else:
                return response
    except (ConnectionError, h11.RemoteProtocolError):
        return response
