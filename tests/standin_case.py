"""Test case that runs engine stand-ins and raw TCP servers in the test process."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from sapphireledge.backends import ConnectionPools, EngineClient, GenerationCall, StreamToken
from sapphireledge_standins.engine_app import create_engine_app
from sapphireledge_standins.engine_options import EngineOptions
from sapphireledge_standins.standin_engine import StandinEngine
from sapphireledge_standins.standin_server import StandinServer


class Engine:
    """Engine stand-in with its server and a client."""

    def __init__(self, pools: ConnectionPools, **options) -> None:
        self.state = StandinEngine(EngineOptions(**{"token_rate": 400.0, **options}))
        self.app = create_engine_app(self.state)
        self.server = StandinServer(self.app)
        self.state.on_crash = self.server.abort
        self.client = EngineClient(self.server.address, pools, 0.5, 0.3)

    def set_faults(self, **faults) -> None:
        new_faults = type(self.state.faults)(**faults)
        self.app.set_faults(new_faults.freeze, new_faults.silence_existing)
        self.state.set_faults(new_faults)


class StandinCase(unittest.IsolatedAsyncioTestCase):
    """Starts servers on loopback ports and stops them when the test ends."""

    async def asyncSetUp(self) -> None:
        self.pools = ConnectionPools(32, 32, 32)
        self.addAsyncCleanup(self.pools.close)

    async def start_engine(self, **options) -> Engine:
        engine = Engine(self.pools, **options)
        await engine.server.start()
        self.addAsyncCleanup(engine.server.stop)
        return engine

    async def start_raw_server(
        self, answer: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    ) -> str:
        """Starts a server that handles connections with `answer`, and returns its address."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await answer(reader, writer)
            except (OSError, EOFError, asyncio.CancelledError):
                # The client closed the connection or the test has ended.
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"


def make_call(request_id="r1", attempt=1, tokens=12, prompt="draft a summary", **fields):
    body = {
        "model": "drafter",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
    }
    version = fields.pop("model_version", "v1")
    return GenerationCall(request_id, attempt, "/v1/chat/completions", body, version, **fields)


async def collect(client: EngineClient, call: GenerationCall) -> list:
    """Runs an attempt to its end and returns its events."""
    return [event async for event in client.stream(call)]


def join_text(events: list) -> str:
    return "".join(event.text for event in events if isinstance(event, StreamToken))
