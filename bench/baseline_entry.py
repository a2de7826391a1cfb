"""Baseline entry: least connections in arrival order, no resume, no shares.

One process relays each request to the engine to which it has the fewest connections. Losing an
engine breaks the caller's connection, and the caller restarts its request from the beginning.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import AsyncIterator
from typing import Annotated

import msgspec
import typer
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from sapphireledge.backends import (
    AttemptFinished,
    CallFailure,
    ConnectionPools,
    EngineClient,
    GenerationCall,
    StreamToken,
)
from sapphireledge.entry.answer_format import AnswerFormat
from sapphireledge.entry.caller_request import CallerRequest
from sapphireledge.entry.parse_request import parse_request
from sapphireledge.settings import CallerSettings


class BaselineEntry:
    """Relays each request to the engine with the fewest connections from this process."""

    def __init__(self, engines: list[str], version: str) -> None:
        self._pools = ConnectionPools(streams=10_000)
        self._clients = {address: EngineClient(address, self._pools) for address in engines}
        self._connections: Counter[str] = Counter()
        self._version = version
        self._number = 0

    async def chat(self, request: Request) -> Response:
        """Serves one chat completion."""
        caller_request = parse_request(
            request.headers, await request.body(), True, "default", CallerSettings()
        )
        if not isinstance(caller_request, CallerRequest):
            return Response(status_code=400)
        address = min(self._clients, key=lambda a: (self._connections[a], a))
        self._number += 1
        call = GenerationCall(
            request_id=f"{caller_request.request_id}-{self._number}",
            attempt=1,
            path="/v1/chat/completions",
            body=caller_request.body,
            model_version=self._version,
        )
        events = self._relay(address, call, AnswerFormat(caller_request, 0.0))
        try:
            first = await anext(events)
        except StopAsyncIteration:
            body = msgspec.json.encode({"error": {"code": "overloaded"}})
            return Response(body, 503, media_type="application/json")
        return StreamingResponse(_prepend(first, events), media_type="text/event-stream")

    async def _relay(
        self, address: str, call: GenerationCall, answer_format: AnswerFormat
    ) -> AsyncIterator[bytes]:
        """Relays one stream; ends without a finish event when the engine is lost."""
        self._connections[address] += 1
        count = 0
        try:
            async for event in self._clients[address].stream(call):
                if isinstance(event, StreamToken):
                    count += 1
                    yield answer_format.encode_piece(f"{count}.00", event.text)
                elif isinstance(event, AttemptFinished):
                    yield answer_format.encode_finish(event.reason)
                elif isinstance(event, CallFailure):
                    return
        finally:
            self._connections[address] -= 1


async def _prepend(first: bytes, events: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yields an event that has already been read, then the remaining ones."""
    yield first
    async for event in events:
        yield event


def main(
    port: Annotated[int, typer.Option(help="TCP port to listen on.")],
    engine: Annotated[list[str], typer.Option(help="IP:port of an engine.")],
    version: Annotated[str, typer.Option(help="Model version.")] = "v1",
) -> None:
    """Runs the baseline entry."""
    entry = BaselineEntry(engine, version)
    app = Starlette(
        routes=[
            Route("/v1/chat/completions", entry.chat, methods=["POST"]),
            Route("/readyz", lambda _: Response(b"{}"), methods=["GET"]),
        ]
    )
    sock = socket.create_server(("127.0.0.1", port), backlog=2048)
    config = uvicorn.Config(
        app, loop="asyncio", http="h11", lifespan="off", access_log=False, log_level="error"
    )
    asyncio.run(uvicorn.Server(config).serve(sockets=[sock]))


if __name__ == "__main__":
    typer.run(main)
