"""The `sapphireledged` daemon, which runs one entry instance."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer

from sapphireledge.entry import EntryServer
from sapphireledge.errors import ERROR_ANSWERS, ErrorKind, Failure
from sapphireledge.settings import Settings, load_settings
from sapphireledge.telemetry import LogEvent, configure_logging

__all__ = ["main"]


def main() -> None:
    """Runs the daemon; entry point of the console script."""
    typer.run(_run)


def _run(
    config: Annotated[Path, typer.Option(help="Settings file, JSON with comments.")],
) -> None:
    """Runs one entry instance until it is stopped by SIGTERM, SIGINT or a drain command."""
    cfg = load_settings(config)
    if not isinstance(cfg, Settings):
        for problem in cfg:
            typer.echo(str(problem), err=True)
        raise typer.Exit(ERROR_ANSWERS[ErrorKind.INVALID_REQUEST].exit_code)
    configure_logging(cfg)
    failure = asyncio.run(_serve(cfg))
    if failure is not None:
        typer.echo(f"{failure.kind}: {failure.reason}", err=True)
        raise typer.Exit(failure.answer.exit_code)


async def _serve(cfg: Settings) -> Failure | None:
    """Runs the instance in the event loop; SIGTERM and SIGINT start a drain."""
    structlog.get_logger().info(LogEvent.INSTANCE_STARTING, region=cfg.region)
    server = EntryServer(cfg)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, server.lifecycle.request_drain)
    return await server.run()


if __name__ == "__main__":
    sys.exit(main())
