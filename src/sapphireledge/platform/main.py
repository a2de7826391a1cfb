"""Main function of an entry instance on the platform's machines."""

from __future__ import annotations

import asyncio
import functools
import logging
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.feed import StoreEpoch
from sapphireledge.gateway import (
    BoundedLog,
    Gateway,
    GatewayEvent,
    GatewayMetrics,
    GatewayServer,
    RequestTelemetry,
)
from sapphireledge.platform.crash_report_writer import CrashReportWriter
from sapphireledge.platform.create_parts import (
    create_feed_runner,
    create_origin_parts,
    create_rollout_parts,
    create_store_client,
)
from sapphireledge.platform.node_settings import NodeSettings, load_node_settings
from sapphireledge.platform.operator_listener import OperatorListener, import_operator_packages
from sapphireledge.platform.operator_settings import read_operator_settings
from sapphireledge.platform.platform_dialect import PlatformDialect
from sapphireledge.platform.settings_reloader import SettingsReloader

if TYPE_CHECKING:
    from sapphireledge.feed import FeedRunner
    from sapphireledge.platform.operator_settings import OperatorSettings
    from sapphireledge.process_signals import ProcessSignals

__all__ = ["main"]

SETTINGS_VARIABLE = "SAPPHIRELEDGE_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

EXIT_BAD_SETTINGS = 2
"""Exit code for unusable settings."""


def main(signals: ProcessSignals) -> int:
    """Runs one entry instance until SIGTERM.

    Args:
        signals: Signals of the process, with handlers installed.

    Returns:
        Exit code.
    """
    try:
        return _run(signals)
    finally:
        signals.ignore()


def _run(signals: ProcessSignals) -> int:
    """Reads the settings file and runs the instance; returns the exit code."""
    _configure_logging()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        cfg = load_node_settings(path)
    except (OSError, ValueError, msgspec.MsgspecError) as exc:
        structlog.get_logger().error(GatewayEvent.SETTINGS_REJECTED, reason=str(exc))
        return EXIT_BAD_SETTINGS
    operators = _prepare_operators(cfg.operator_address)
    asyncio.run(_serve(path, cfg, operators, signals))
    return 0


def _prepare_operators(address: str) -> OperatorSettings | None:
    """Reads the operators' settings; callers are served whatever is wrong with them."""
    try:
        operators = read_operator_settings(address)
        reason = "" if operators is None else import_operator_packages()
    except (OSError, ValueError) as exc:
        reason = str(exc)
    if reason:
        structlog.get_logger().error(GatewayEvent.OPERATORS_UNAVAILABLE, reason=reason)
        return None
    return operators


async def _serve(
    path: Path,
    cfg: NodeSettings,
    operators: OperatorSettings | None,
    signals: ProcessSignals,
) -> None:
    """Runs the instance in the event loop until it is stopped."""
    metrics = GatewayMetrics()
    gateway = Gateway(cfg.gateway, PlatformDialect(), RequestTelemetry(metrics))
    server = GatewayServer(gateway, metrics)
    epoch = StoreEpoch()
    runner = create_feed_runner(cfg, gateway, metrics, epoch)
    gateway.context.count_instances = lambda: runner.instance_count
    writer = CrashReportWriter(
        create_store_client(cfg, metrics, epoch), gateway.context.crashes, cfg.gateway.instance
    )
    epoch.subscribe(writer.on_store_restored)
    parts = [
        runner,
        writer,
        *create_origin_parts(cfg, gateway, metrics, epoch),
        *create_rollout_parts(cfg, gateway, metrics, epoch),
    ]
    if operators is not None:
        parts.append(OperatorListener(operators, gateway))
    reloader = SettingsReloader(path, cfg, gateway)
    if signals.is_stop_requested:
        return
    stop = functools.partial(_begin_shutdown, server, runner)
    actions = {signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reloader.reload}
    with signals.delivered_to(asyncio.get_running_loop(), actions):
        tasks = [asyncio.create_task(part.run()) for part in (*parts, reloader)]
        try:
            await server.run()
        finally:
            for task in tasks:
                task.cancel()


def _begin_shutdown(server: GatewayServer, runner: FeedRunner) -> None:
    """Begins a graceful shutdown."""
    runner.stop_relaying()
    server.request_stop()


def _configure_logging() -> None:
    """Configures logging as JSON lines on standard output."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_to_json),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=BoundedLog(sys.stdout.fileno(), _render_dropped_lines),
        cache_logger_on_first_use=True,
    )


def _render_dropped_lines(count: int) -> str:
    """Renders the log line that reports dropped lines."""
    return _to_json({"event": GatewayEvent.LINES_DROPPED, "count": count, "level": "warning"})


def _to_json(value: object, **_: object) -> str:
    """Encodes one log line as JSON."""
    return msgspec.json.encode(value, enc_hook=str).decode()
