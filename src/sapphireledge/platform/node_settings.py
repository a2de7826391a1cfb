"""Settings file that the platform writes for a process."""

from __future__ import annotations

from pathlib import Path

import msgspec

from sapphireledge.feed import FeedSettings, KindSettings, Peer
from sapphireledge.gateway import GatewaySettings
from sapphireledge.platform.split_address import split_address
from sapphireledge.platform.store_settings import StoreSettings

__all__ = ["NodeSettings", "load_node_settings"]

METRICS_PORT = 9464
"""Port for metrics; stands in deploy/system.toml, too."""

REVOCATION_MARGIN = 1.2
"""Seconds kept back from the time in which a removed key may still be used.

A watch can be deaf for a second before the store says so, and a call takes some milliseconds.
"""


CONFIG_WATCH_WAIT = 1.4
"""Seconds that the store holds a watch on the configuration. A watch that ends without events
confirms the configuration, so this bounds its age; each call is charged."""

REGISTRY_WATCH_WAIT = 3.0
"""Seconds that the store holds a watch on the backend servers. With the limit of a call it stays
below the 4 s after which rules hold again when a connection fell silent."""

REGISTRY_BATCH_DELAY = 1.2
"""Seconds after changes of backend servers in which further ones are collected. Less than half of
the 3 s within which a leaving server must receive no more work."""


class _Listen(msgspec.Struct):
    """Addresses to listen on."""

    front: str
    ready: str


class _Bounds(msgspec.Struct):
    """Figures of the platform's rules that the gateway needs."""

    revoke_ms: int = 5000
    grace_s: float = 8.0


class _Store(msgspec.Struct):
    """Where the store is."""

    address: str


class _Limits(msgspec.Struct):
    """What the machine has."""

    link_mbps: float = 0.0


class _NodeFile(msgspec.Struct):
    """The file; fields that are not named here are ignored."""

    node_name: str
    zone: str
    listen: _Listen
    platform: _Store
    port_range: tuple[int, int]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of one process in the project's own types."""

    gateway: GatewaySettings
    """Settings of the gateway."""

    store: StoreSettings
    """Settings of the store's client."""

    feed: FeedSettings
    """Settings of the feed."""

    peer: Peer
    """Description of this instance for the others."""


def load_node_settings(path: Path) -> NodeSettings:
    """Reads and checks the settings file.

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
        key_trust=file.bounds.revoke_ms / 1000.0 - REVOCATION_MARGIN,
        stop_limit=file.bounds.grace_s,
    )
    feed = FeedSettings(
        kinds=(
            KindSettings("config", CONFIG_WATCH_WAIT, 0.0),
            KindSettings("servers", REGISTRY_WATCH_WAIT, REGISTRY_BATCH_DELAY),
        ),
        host=listen_host,
        port=file.port_range[0],
    )
    peer = Peer(file.node_name, listen_host, feed.port, file.zone, file.limits.link_mbps)
    return NodeSettings(gateway, StoreSettings(store_host, store_port), feed, peer)
