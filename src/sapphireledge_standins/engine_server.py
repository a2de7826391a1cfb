"""Command that runs the engine stand-in."""

from __future__ import annotations

from typing import Annotated

import typer
import uvicorn

from sapphireledge_standins.engine_app import create_engine_app
from sapphireledge_standins.engine_options import EngineOptions
from sapphireledge_standins.standin_engine import StandinEngine
from sapphireledge_standins.standin_server import create_listening_socket, create_server_config

__all__ = ["main"]

DEFAULTS = EngineOptions()
"""Default values of the command-line options."""


def serve(
    host: Annotated[str, typer.Option(help="IP address to bind.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="TCP port, 0 for any free one.")] = 0,
    name: Annotated[str, typer.Option(help="Name of the instance.")] = DEFAULTS.name,
    data_centre: Annotated[str, typer.Option(help="Data centre.")] = DEFAULTS.data_centre,
    region: Annotated[str, typer.Option(help="Region.")] = DEFAULTS.region,
    model: Annotated[str, typer.Option(help="Model loaded at start.")] = DEFAULTS.model,
    version: Annotated[str, typer.Option(help="Version of that model.")] = DEFAULTS.version,
    software_version: Annotated[
        str, typer.Option(help="Version of the engine's software, named in responses.")
    ] = DEFAULTS.software_version,
    role: Annotated[str, typer.Option(help="Role at start.")] = DEFAULTS.role,
    token_rate: Annotated[
        float, typer.Option(min=0.01, help="Tokens per second of each sequence.")
    ] = DEFAULTS.token_rate,
    slots: Annotated[int, typer.Option(min=1, help="Concurrent sequences.")] = DEFAULTS.slots,
    queue_limit: Annotated[
        int, typer.Option(min=0, help="Maximum number of queued sequences.")
    ] = DEFAULTS.queue_limit,
    prefill_rate: Annotated[
        float, typer.Option(min=1, help="Prompt tokens processed per second.")
    ] = DEFAULTS.prefill_rate,
    cache_blocks: Annotated[
        int, typer.Option(min=0, help="Prefix blocks of 64 tokens in the cache.")
    ] = DEFAULTS.cache_blocks,
    checks_fencing: Annotated[
        bool, typer.Option(help="Whether old fencing numbers are refused.")
    ] = DEFAULTS.checks_fencing,
    load_seconds: Annotated[
        float, typer.Option(min=0, help="Seconds that loading a model takes.")
    ] = DEFAULTS.load_seconds,
    seed: Annotated[int, typer.Option(help="Seed of the jitter between tokens.")] = DEFAULTS.seed,
) -> None:
    """Runs an engine stand-in until it is stopped or ended by a fault."""
    options = EngineOptions(
        name=name,
        data_centre=data_centre,
        region=region,
        model=model,
        version=version,
        software_version=software_version,
        role=role,
        token_rate=token_rate,
        slots=slots,
        queue_limit=queue_limit,
        prefill_rate=prefill_rate,
        cache_blocks=cache_blocks,
        checks_fencing=checks_fencing,
        load_seconds=load_seconds,
        seed=seed,
    )
    sock = create_listening_socket(host, port)
    print(f"listening {host}:{sock.getsockname()[1]}", flush=True)
    uvicorn.Server(create_server_config(create_engine_app(StandinEngine(options)))).run([sock])


def main() -> None:
    """Runs the command line."""
    typer.run(serve)


if __name__ == "__main__":
    main()
