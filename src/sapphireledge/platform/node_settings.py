"""Settings file that the platform writes for each process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec

from sapphireledge.core.rollout import RolloutLimits
from sapphireledge.feed import FeedSettings, KindSettings, Peer
from sapphireledge.gateway import GatewaySettings
from sapphireledge.limits import CallerBudgets
from sapphireledge.platform.crash_report_writer import CRASH_REPORT_KIND
from sapphireledge.platform.decode_rollout import ROLLOUT_KIND
from sapphireledge.platform.rollout_report_writer import ROLLOUT_REPORT_KIND
from sapphireledge.platform.split_address import split_address
from sapphireledge.platform.store_settings import DEFAULT_WRITE_RATE, StoreSettings
from sapphireledge.platform.stream_origin_writer import STREAM_ORIGIN_KIND

__all__ = ["NodeSettings", "load_node_settings"]

KEPT_PROMPTS_VARIABLE = "SAPPHIRELEDGE_KEPT_PROMPTS"
"""Environment variable that switches the placement by kept prompts off with the value "off"."""

METRICS_PORT = 9464
"""Port of the metrics endpoint; must match deploy/system.toml."""

PEER_PORT_OFFSET = 2
"""Place of the port for forwarded requests in the range of free ports, after those of the feed and
of the operators."""

REVOCATION_MARGIN = 1.2
"""Seconds subtracted from the time for which a removed API key may still be accepted.

A watch can miss changes for a second before the store reports it, and a call takes some
milliseconds.
"""

CONFIG_WATCH_WAIT = 1.4
"""Seconds for which the store holds open a watch on the configuration. A watch that ends without
events confirms the configuration, so this bounds its age; every call is charged."""

REGISTRY_WATCH_WAIT = 3.0
"""Seconds for which the store holds open a watch on the backend servers. With the call timeout it
stays below the 4 s after which the platform's rules apply again once a connection has stalled."""

REGISTRY_BATCH_DELAY = 1.2
"""Seconds after a change of backend servers during which further changes are batched. Less than
half of the 3 s after which a draining server must receive no more work."""


CRASH_WATCH_WAIT = 3.0
"""Seconds for which the store holds open a watch on crash reports; see `REGISTRY_WATCH_WAIT`."""

CRASH_BATCH_DELAY = 0.3
"""Seconds after a change of crash reports during which further changes are batched. All instances
must know what crashes engines within 4 s."""

ROLLOUT_KINDS = (
    KindSettings(ROLLOUT_KIND, 1.0, 0.0, quiet_wait=25.0, has_records=True),
    KindSettings(ROLLOUT_REPORT_KIND, 1.0, 0.2, quiet_wait=0.0),
)
"""Kinds that are watched for roll-outs. While an order is running, orders and reports are confirmed
each second, and reports of many instances come in batches; otherwise orders are rare."""

ORIGIN_WATCH_WAIT = 1.5
"""Seconds for which the store holds open a watch on the origins of streams."""

ORIGIN_BATCH_DELAY = 0.4
"""Seconds after a change of origins during which further changes are batched. Less than the time
for which a take-up waits for them."""

FIRST_START_WAIT = 1.5
"""Seconds for which the instances of a system that starts for the first time wait for one another:
all start within 0.3 s, and read the directory again after 1 s."""

ROLLOUT_CONTRACT = "rollout"
"""Name of the contract by which versions are rolled out."""


class _Listen(msgspec.Struct):
    """Addresses to listen on: `front` for callers, `ready` for readiness checks, `control` for
    operators, empty if the machine has no such address."""

    front: str
    ready: str
    # Of any type: a fault in the operators' settings must not reject those of callers.
    control: object = ""


class _Bounds(msgspec.Struct):
    """Limits of the platform: `revoke_ms` for removed API keys, `grace_s` for a shutdown.

    A version that is rolled out and bad may get `expose_share` of the requests and `expose_slack`
    beyond, and none later than `rollback_ms` after its 50th bad answer.
    """

    revoke_ms: int = 5000
    grace_s: float = 8.0
    expose_share: float = 0.1
    expose_slack: float = 50.0
    rollback_ms: float = 5000.0


class _Store(msgspec.Struct):
    """Address of the store, and the writes a second that it takes from all machines together."""

    address: str
    writes_per_s: Any = 0


FILE_DESCRIPTORS = 200
"""Descriptors of a process that the platform keeps for files; sockets share the others."""

BYTES_PER_MB = 1_048_576


class _Limits(msgspec.Struct):
    """Resources of the machine; 0 if the file does not name them."""

    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0


class _NodeFile(msgspec.Struct):
    """The settings file; unknown fields are ignored.

    `bootstrap` is true only when the whole system starts for the first time, `heartbeat_ms` is the
    interval at which backend servers renew their registry entries,
    `contracts` names the parts of the platform that are in force.
    """

    node_name: str
    zone: str
    listen: _Listen
    platform: _Store
    port_range: tuple[int, int]
    bootstrap: bool = False
    heartbeat_ms: int = 1200
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    contracts: list[str] = []


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of one process, independent of the platform's format."""

    gateway: GatewaySettings
    """Addresses, timeouts and limits of the gateway."""

    store: StoreSettings
    """Address and timeout of the store."""

    feed: FeedSettings
    """Watched kinds and address of the feed."""

    peer: Peer
    """Description of this instance for other instances."""

    backend_heartbeat: float
    """Seconds between two heartbeats of a backend server in the store."""

    operator_address: str = ""
    """Address of the operators' interface, not checked; empty if no port is left for it."""


def load_node_settings(path: Path) -> NodeSettings:
    """Reads and validates the settings file.

    Args:
        path: JSON file.

    Returns:
        The settings.

    Raises:
        OSError: The file cannot be read.
        msgspec.MsgspecError: The file is not JSON, or a field is missing or has another type.
        ValueError: An address is not IP:PORT.
    """
    file = msgspec.json.decode(path.read_bytes(), type=_NodeFile)
    listen_host, listen_port = split_address(file.listen.front)
    ready_host, ready_port = split_address(file.listen.ready)
    store_host, store_port = split_address(file.platform.address)
    gateway = GatewaySettings(
        instance=file.node_name,
        data_centre=file.zone,
        listen_host=listen_host,
        listen_port=listen_port,
        ready_host=ready_host,
        ready_port=ready_port,
        metrics_port=METRICS_PORT,
        peer_port=_find_peer_port(file),
        max_config_age=file.bounds.revoke_ms / 1000.0 - REVOCATION_MARGIN,
        stop_limit=file.bounds.grace_s,
        callers=_decode_budgets(file.limits),
        rollout=_rollout_limits(file),
        uses_kept_prompts=os.environ.get(KEPT_PROMPTS_VARIABLE, "on") != "off",
    )
    feed = FeedSettings(
        kinds=(
            KindSettings("config", CONFIG_WATCH_WAIT, 0.0),
            KindSettings("servers", REGISTRY_WATCH_WAIT, REGISTRY_BATCH_DELAY, confirms=False),
            KindSettings(
                CRASH_REPORT_KIND,
                CRASH_WATCH_WAIT,
                CRASH_BATCH_DELAY,
                confirms=False,
                can_start_late=True,
            ),
            KindSettings(
                STREAM_ORIGIN_KIND,
                ORIGIN_WATCH_WAIT,
                ORIGIN_BATCH_DELAY,
                confirms=False,
                can_start_late=True,
                quiet_wait=0.0,
            ),
            *(ROLLOUT_KINDS if gateway.rollout is not None else ()),
        ),
        host=listen_host,
        port=file.port_range[0],
        first_start_wait=FIRST_START_WAIT if file.bootstrap else 0.0,
    )
    peer = Peer(file.node_name, listen_host, feed.port, file.zone, file.limits.link_mbps)
    store = StoreSettings(store_host, store_port, writes_per_second=_decode_rate(file.platform))
    return NodeSettings(
        gateway, store, feed, peer, file.heartbeat_ms / 1000.0, _find_operator_address(file)
    )


def _find_operator_address(file: _NodeFile) -> str:
    """Finds the address of the operators' interface, by default the second port of the range."""
    if file.listen.control:
        return str(file.listen.control)
    host, _ = split_address(file.listen.front)
    first, last = file.port_range
    return f"{host}:{first + 1}" if first < last else ""


def _find_peer_port(file: _NodeFile) -> int | None:
    """Finds the port for forwarded requests, None if the range of free ports is too small."""
    first, last = file.port_range
    port = first + PEER_PORT_OFFSET
    return port if port <= last else None


def _decode_budgets(limits: _Limits) -> CallerBudgets:
    """Decodes the machine's memory and descriptors."""
    default = CallerBudgets()
    return CallerBudgets(
        memory_bytes=int(limits.memory_mb * BYTES_PER_MB) or default.memory_bytes,
        sockets=max(0, limits.max_fds - FILE_DESCRIPTORS) or default.sockets,
    )


def _decode_rate(store: _Store) -> float:
    """Decodes the rate of writes, by default that of a small store."""
    rate = store.writes_per_s
    is_number = isinstance(rate, int | float) and not isinstance(rate, bool)
    return float(rate) if is_number and rate > 0 else DEFAULT_WRITE_RATE


def _rollout_limits(file: _NodeFile) -> RolloutLimits | None:
    """Returns the limits of roll-outs, None where versions are not rolled out."""
    if ROLLOUT_CONTRACT not in file.contracts:
        return None
    bounds = file.bounds
    return RolloutLimits(bounds.expose_share, bounds.expose_slack, bounds.rollback_ms / 1000.0)
