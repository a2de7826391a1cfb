"""Command that runs the service stand-in."""

from __future__ import annotations

import asyncio
from typing import Annotated

import typer

from sapphireledge_standins.service_app import ServiceApi
from sapphireledge_standins.standin_server import StandinServer

__all__ = ["main"]

ANSWER_GRACE = 0.05
"""Seconds for sending the response to `PUT /admin/faults` before the port is closed."""


def serve(
    host: Annotated[str, typer.Option(help="IP address to bind.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="TCP port, 0 for any free one.")] = 0,
) -> None:
    """Runs a booking service stand-in until it is stopped or ended by a fault."""
    asyncio.run(_serve(host, port))


async def _serve(host: str, port: int) -> None:
    """Serves, closing the port for the duration of each `refuse_for` fault."""
    api = ServiceApi()
    refusals: asyncio.Queue[float] = asyncio.Queue()
    api.on_refuse = refusals.put_nowait
    server = StandinServer(api.app, host, port)
    print(f"listening {server.address}", flush=True)
    while True:
        await server.start()
        duration = await refusals.get()
        await asyncio.sleep(ANSWER_GRACE)
        await server.stop()
        await asyncio.sleep(duration)
        server = StandinServer(api.app, host, server.port)


def main() -> None:
    """Runs the command line."""
    typer.run(serve)


if __name__ == "__main__":
    main()
