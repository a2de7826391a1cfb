"""Creates the parts of an entry instance that exchange objects with the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.reachability import ForwardingPeer
from sapphireledge.feed import (
    FeedRunner,
    FreshnessCheck,
    KindActivity,
    KindFeed,
    KindWatcher,
    StorePresence,
)
from sapphireledge.limits import CallerLedger
from sapphireledge.platform.config_listener import CONFIG_KIND, ConfigListener
from sapphireledge.platform.crash_report_listener import CrashReportListener
from sapphireledge.platform.crash_report_writer import CRASH_REPORT_KIND
from sapphireledge.platform.decode_rollout import ROLLOUT_KIND
from sapphireledge.platform.rollout_listener import RolloutListener
from sapphireledge.platform.rollout_report_listener import RolloutReportListener
from sapphireledge.platform.rollout_report_writer import ROLLOUT_REPORT_KIND, RolloutReportWriter
from sapphireledge.platform.rollout_status_writer import RolloutStatusWriter
from sapphireledge.platform.server_listener import ServerListener
from sapphireledge.platform.store_client import StoreClient
from sapphireledge.platform.stream_origin_listener import StreamOriginListener
from sapphireledge.platform.stream_origin_reader import StreamOriginReader
from sapphireledge.platform.stream_origin_writer import STREAM_ORIGIN_KIND, StreamOriginWriter
from sapphireledge.platform.versions_in_use_writer import VersionsInUseWriter

if TYPE_CHECKING:
    from sapphireledge.feed import KindListener, StoreEpoch
    from sapphireledge.gateway import Gateway, GatewayMetrics, RolloutGuard
    from sapphireledge.platform.node_settings import NodeSettings

__all__ = [
    "create_feed_runner",
    "create_origin_parts",
    "create_rollout_parts",
    "create_store_client",
]

MAX_PORT = 65_535
"""Largest TCP port."""


def create_feed_runner(
    cfg: NodeSettings, gateway: Gateway, metrics: GatewayMetrics, epoch: StoreEpoch
) -> FeedRunner:
    """Creates the feeds that keep the gateway's configuration and registry up to date.

    Args:
        cfg: Settings of the process.
        gateway: Gateway that the objects are for.
        metrics: Metrics of the process.
        epoch: Notices that the store came back from an older copy.

    Returns:
        The runner.
    """
    config = ConfigListener(gateway.config)
    listeners: dict[str, KindListener] = {
        CONFIG_KIND: config,
        "servers": ServerListener(gateway, cfg.backend_heartbeat),
        CRASH_REPORT_KIND: CrashReportListener(gateway.context.crashes),
    }
    origins, rollouts = gateway.context.origins, gateway.context.rollouts
    listeners[STREAM_ORIGIN_KIND] = StreamOriginListener(origins)
    activities = {STREAM_ORIGIN_KIND: KindActivity()}
    activities[STREAM_ORIGIN_KIND].update(active=origins.is_active)
    origins.on_activity = lambda is_active: activities[STREAM_ORIGIN_KIND].update(active=is_active)
    if cfg.gateway.rollout is not None:
        listeners[ROLLOUT_KIND] = RolloutListener(rollouts)
        listeners[ROLLOUT_REPORT_KIND] = RolloutReportListener(rollouts)
        activity = activities[ROLLOUT_KIND] = activities[ROLLOUT_REPORT_KIND] = KindActivity()
        rollouts.on_activity = lambda is_active: activity.update(active=is_active)
    feeds = {
        kind: KindFeed(kind, listener, is_optional=kind in activities)
        for kind, listener in listeners.items()
        if kind != CONFIG_KIND
    }
    feeds[CONFIG_KIND] = KindFeed(CONFIG_KIND, config, order=config)
    presence = StorePresence()
    watchers = [
        KindWatcher(
            create_store_client(cfg, metrics, epoch, has_records=kind_cfg.has_records),
            feeds[kind_cfg.kind],
            kind_cfg,
            cfg.feed,
            presence,
            activities.get(kind_cfg.kind),
        )
        for kind_cfg in cfg.feed.kinds
    ]
    directory = create_store_client(cfg, metrics, epoch)
    ledger = CallerLedger(cfg.gateway.callers.followers, gateway.telemetry.record_caller_limit)
    exchange = gateway.context.load_exchange
    checks = [
        FreshnessCheck(
            create_store_client(cfg, metrics, epoch, has_records=kind_cfg.has_records),
            feeds[kind_cfg.kind],
            cfg.feed,
            lambda kind, result: metrics.freshness_checks.labels(kind, result).inc(),
        )
        for kind_cfg in cfg.feed.kinds
        if kind_cfg.confirms and kind_cfg.kind not in activities
    ]
    runner = FeedRunner(
        cfg.feed, cfg.peer, feeds, watchers, directory, epoch, ledger, exchange, checks
    )
    if cfg.gateway.peer_port is not None:
        offset = cfg.gateway.peer_port - cfg.peer.port
        gateway.peers.list_peers = lambda: [
            ForwardingPeer(peer.name, peer.data_centre, peer.host, peer.port + offset)
            for peer in runner.peers
            if peer.port + offset <= MAX_PORT
        ]
    rollouts.list_alive = runner.list_alive
    rollouts.list_announced = lambda: runner.announced
    return runner


def create_origin_parts(
    cfg: NodeSettings, gateway: Gateway, metrics: GatewayMetrics, epoch: StoreEpoch
) -> list[StreamOriginWriter | VersionsInUseWriter | StreamOriginReader]:
    """Creates the parts that share which versions began streams.

    Args:
        cfg: Settings of the process.
        gateway: Gateway that the objects are for.
        metrics: Metrics of the process.
        epoch: Notices that the store came back from an older copy.

    Returns:
        The parts.
    """
    context = gateway.context
    origins = context.origins
    origins.history.needs_reports = True
    listener = StreamOriginListener(origins)
    writer = StreamOriginWriter(
        create_store_client(cfg, metrics, epoch),
        origins,
        gateway.telemetry.origins,
        cfg.gateway.instance,
        lambda: context.count_instances(),
        cfg.store.writes_per_second,
    )
    epoch.subscribe(writer.on_store_restored)
    versions = VersionsInUseWriter(
        create_store_client(cfg, metrics, epoch),
        origins,
        listener,
        lambda: context.count_instances(),
    )
    reader = StreamOriginReader(create_store_client(cfg, metrics, epoch), origins, listener)
    return [writer, versions, reader]


def create_rollout_parts(
    cfg: NodeSettings, gateway: Gateway, metrics: GatewayMetrics, epoch: StoreEpoch
) -> list[RolloutGuard | RolloutReportWriter | RolloutStatusWriter]:
    """Creates the parts that run roll-outs, none where versions are not rolled out.

    Args:
        cfg: Settings of the process.
        gateway: Gateway that the objects are for.
        metrics: Metrics of the process.
        epoch: Notices that the store came back from an older copy.

    Returns:
        The parts.
    """
    if cfg.gateway.rollout is None:
        return []
    rollouts = gateway.context.rollouts
    reports = RolloutReportWriter(
        create_store_client(cfg, metrics, epoch), rollouts, cfg.gateway.instance
    )
    epoch.subscribe(reports.on_store_restored)
    statuses = RolloutStatusWriter(
        create_store_client(cfg, metrics, epoch),
        rollouts,
        lambda: gateway.context.count_instances(),
    )
    return [rollouts, reports, statuses]


def create_store_client(
    cfg: NodeSettings, metrics: GatewayMetrics, epoch: StoreEpoch, *, has_records: bool = False
) -> StoreClient:
    """Creates a client whose calls are counted in the metrics.

    Args:
        cfg: Settings of the process.
        metrics: Metrics of the process.
        epoch: Notices that the store came back from an older copy.
        has_records: Whether the client reads status and versions of objects, too.

    Returns:
        The client.
    """
    return StoreClient(
        cfg.store,
        epoch,
        lambda kind, result: metrics.store_calls.labels(kind, result).inc(),
        has_records=has_records,
    )
