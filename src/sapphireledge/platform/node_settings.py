"""Settings file that the platform writes for a process."""

from __future__ import annotations

from pathlib import Path

import msgspec

from sapphireledge.gateway import GatewaySettings
from sapphireledge.platform.store_settings import StoreSettings

__all__ = ["NodeSettings", "load_node_settings"]

METRICS_PORT = 9464
"""Port for metrics; stands in deploy/system.toml, too."""

KEY_TRUST_MARGIN = 1.2
"""Seconds kept back from the time in which a removed key may still be used.

A watch can be deaf for a second before the store says so, and a call takes some milliseconds.
"""


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


class _NodeFile(msgspec.Struct):
    """The file; fields that are not named here are ignored."""

    node_name: str
    zone: str
    listen: _Listen
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of one process in the project's own types."""

    gateway: GatewaySettings
    """Settings of the gateway."""

    store: StoreSettings
    """Settings of the store's client."""


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
        key_trust=file.bounds.revoke_ms / 1000.0 - KEY_TRUST_MARGIN,
        stop_limit=file.bounds.grace_s,
    )
    return NodeSettings(gateway, StoreSettings(store_host, store_port))


def split_address(address: str) -> tuple[str, int]:
    """Splits an address.

    Args:
        address: IP:PORT.

    Returns:
        IP address and port.

    Raises:
        ValueError: It has another form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} is not IP:PORT")
    return host, int(port)
