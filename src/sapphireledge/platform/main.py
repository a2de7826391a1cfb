"""Main function of an entry instance on the platform's machines."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.feed import (
    FeedRunner,
    KindActivity,
    KindFeed,
    KindWatcher,
    StoreEpoch,
    StorePresence,
)
from sapphireledge.gateway import (
    BoundedLog,
    Gateway,
    GatewayEvent,
    GatewayMetrics,
    GatewayServer,
    RequestTelemetry,
)
from sapphireledge.platform.config_listener import ConfigListener
from sapphireledge.platform.crash_report_listener import CrashReportListener
from sapphireledge.platform.crash_report_writer import CRASH_REPORT_KIND, CrashReportWriter
from sapphireledge.platform.decode_rollout import ROLLOUT_KIND
from sapphireledge.platform.node_settings import NodeSettings, load_node_settings
from sapphireledge.platform.platform_dialect import PlatformDialect
from sapphireledge.platform.rollout_listener import RolloutListener
from sapphireledge.platform.rollout_report_listener import RolloutReportListener
from sapphireledge.platform.rollout_report_writer import ROLLOUT_REPORT_KIND, RolloutReportWriter
from sapphireledge.platform.rollout_status_writer import RolloutStatusWriter
from sapphireledge.platform.server_listener import ServerListener
from sapphireledge.platform.settings_reloader import SettingsReloader
from sapphireledge.platform.store_client import StoreClient

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed import KindListener
    from sapphireledge.gateway import RolloutGuard

__all__ = ["main"]

SETTINGS_VARIABLE = "SAPPHIRELEDGE_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

EXIT_BAD_SETTINGS = 2
"""Exit code for unusable settings."""


def main(early_stop_signals: Sequence[int] = ()) -> int:
    """Runs one entry instance until SIGTERM.

    Args:
        early_stop_signals: Stop signals received before the event loop handles them; may still
            grow until then.

    Returns:
        Exit code.
    """
    _configure_logging()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        cfg = load_node_settings(path)
    except (OSError, ValueError, msgspec.MsgspecError) as exc:
        structlog.get_logger().error(GatewayEvent.SETTINGS_REJECTED, reason=str(exc))
        return EXIT_BAD_SETTINGS
    asyncio.run(_serve(path, cfg, early_stop_signals))
    return 0


async def _serve(path: Path, cfg: NodeSettings, early_stop_signals: Sequence[int]) -> None:
    """Runs the instance in the event loop until it is stopped."""
    metrics = GatewayMetrics()
    gateway = Gateway(cfg.gateway, PlatformDialect(), RequestTelemetry(metrics))
    server = GatewayServer(gateway, metrics)
    epoch = StoreEpoch()
    runner = _create_feed_runner(cfg, gateway, metrics, epoch)
    gateway.context.count_instances = lambda: runner.instance_count
    writer = CrashReportWriter(
        _create_store_client(cfg, metrics, epoch), gateway.context.crashes, cfg.gateway.instance
    )
    epoch.subscribe(writer.on_store_restored)
    parts = [runner, writer, *_create_rollout_parts(cfg, gateway, metrics, epoch)]
    reloader = SettingsReloader(path, cfg, gateway)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _begin_shutdown, server, runner)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    if early_stop_signals:
        return
    tasks = [asyncio.create_task(part.run()) for part in (*parts, reloader)]
    try:
        await server.run()
    finally:
        for task in tasks:
            task.cancel()


def _create_feed_runner(
    cfg: NodeSettings, gateway: Gateway, metrics: GatewayMetrics, epoch: StoreEpoch
) -> FeedRunner:
    """Creates the feeds that keep the gateway's configuration and registry up to date."""
    listeners: dict[str, KindListener] = {
        "config": ConfigListener(gateway.config),
        "servers": ServerListener(gateway, cfg.backend_heartbeat),
        CRASH_REPORT_KIND: CrashReportListener(gateway.context.crashes),
    }
    rollouts = gateway.context.rollouts
    activity = KindActivity()
    if cfg.gateway.rollout is not None:
        listeners[ROLLOUT_KIND] = RolloutListener(rollouts)
        listeners[ROLLOUT_REPORT_KIND] = RolloutReportListener(rollouts)
        rollouts.on_activity = lambda is_active: activity.update(active=is_active)
    feeds = {kind: KindFeed(kind, listener) for kind, listener in listeners.items()}
    presence = StorePresence()
    watchers = [
        KindWatcher(
            _create_store_client(cfg, metrics, epoch, has_records=kind_cfg.has_records),
            feeds[kind_cfg.kind],
            kind_cfg,
            cfg.feed,
            presence,
            None if kind_cfg.quiet_wait is None else activity,
        )
        for kind_cfg in cfg.feed.kinds
    ]
    directory = _create_store_client(cfg, metrics, epoch)
    return FeedRunner(cfg.feed, cfg.peer, feeds, watchers, directory, epoch)


def _begin_shutdown(server: GatewayServer, runner: FeedRunner) -> None:
    """Begins a graceful shutdown."""
    runner.stop_relaying()
    server.request_stop()


def _create_rollout_parts(
    cfg: NodeSettings, gateway: Gateway, metrics: GatewayMetrics, epoch: StoreEpoch
) -> list[RolloutGuard | RolloutReportWriter | RolloutStatusWriter]:
    """Creates the parts that run roll-outs, none where versions are not rolled out."""
    if cfg.gateway.rollout is None:
        return []
    rollouts = gateway.context.rollouts
    reports = RolloutReportWriter(
        _create_store_client(cfg, metrics, epoch), rollouts, cfg.gateway.instance
    )
    epoch.subscribe(reports.on_store_restored)
    statuses = RolloutStatusWriter(
        _create_store_client(cfg, metrics, epoch),
        rollouts,
        lambda: gateway.context.count_instances(),
    )
    return [rollouts, reports, statuses]


def _create_store_client(
    cfg: NodeSettings, metrics: GatewayMetrics, epoch: StoreEpoch, *, has_records: bool = False
) -> StoreClient:
    """Creates a client whose calls are counted in the metrics."""
    return StoreClient(
        cfg.store,
        epoch,
        lambda kind, result: metrics.store_calls.labels(kind, result).inc(),
        has_records=has_records,
    )


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
