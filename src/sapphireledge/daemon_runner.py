"""Command line and event loop of the `sapphireledged` daemon."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import structlog
import typer

from sapphireledge.entry import EntryServer
from sapphireledge.errors import ERROR_ANSWERS, ErrorKind, Failure
from sapphireledge.settings import Settings, load_settings
from sapphireledge.telemetry import LogEvent, configure_logging

if TYPE_CHECKING:
    from sapphireledge.process_signals import ProcessSignals

__all__ = ["run_daemon"]


def run_daemon(signals: ProcessSignals) -> None:
    """Parses the command line and runs one entry instance; exits with its exit code.

    Args:
        signals: Signals of the process, with handlers installed.
    """

    def run(
        config: Annotated[Path, typer.Option(help="Settings file, JSON with comments.")],
    ) -> None:
        """Runs one entry instance until it is stopped by SIGTERM, SIGINT or a drain command."""
        _run(config, signals)

    typer.run(run)


def _run(path: Path, signals: ProcessSignals) -> None:
    """Reads the settings file and runs the instance; raises `typer.Exit` after a failure."""
    cfg = load_settings(path)
    if not isinstance(cfg, Settings):
        for problem in cfg:
            typer.echo(str(problem), err=True)
        raise typer.Exit(ERROR_ANSWERS[ErrorKind.INVALID_REQUEST].exit_code)
    configure_logging(cfg)
    failure = asyncio.run(_serve(cfg, signals))
    if failure is not None:
        typer.echo(f"{failure.kind}: {failure.reason}", err=True)
        raise typer.Exit(failure.answer.exit_code)


async def _serve(cfg: Settings, signals: ProcessSignals) -> Failure | None:
    """Runs the instance in the event loop; SIGTERM and SIGINT start a drain."""
    structlog.get_logger().info(LogEvent.INSTANCE_STARTING, region=cfg.region)
    server = EntryServer(cfg)
    drain = server.lifecycle.request_drain
    actions = {signal.SIGTERM: drain, signal.SIGINT: drain, signal.SIGHUP: _log_hangup}
    with signals.delivered_to(asyncio.get_running_loop(), actions):
        return await server.run()


def _log_hangup() -> None:
    """Logs that the settings, which are read once, stay as they are."""
    structlog.get_logger().warning(LogEvent.SETTINGS_NOT_RELOADED)
