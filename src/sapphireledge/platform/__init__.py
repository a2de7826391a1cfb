"""Clients of the platform: object API and instance list."""

from __future__ import annotations

from sapphireledge.platform.http_client import create_http_client
from sapphireledge.platform.instance import Instance, InstanceKind, InstanceState
from sapphireledge.platform.instance_source import InstanceSource
from sapphireledge.platform.instance_watcher import InstanceWatcher
from sapphireledge.platform.object_client import ObjectClient
from sapphireledge.platform.object_page import ObjectPage
from sapphireledge.platform.object_store import ObjectStore
from sapphireledge.platform.prefix_watcher import PrefixWatcher
from sapphireledge.platform.settle_write import settle_write
from sapphireledge.platform.stored_object import StoredObject
from sapphireledge.platform.write_result import WriteResult, WriteStatus

__all__ = [
    "Instance",
    "InstanceKind",
    "InstanceSource",
    "InstanceState",
    "InstanceWatcher",
    "ObjectClient",
    "ObjectPage",
    "ObjectStore",
    "PrefixWatcher",
    "StoredObject",
    "WriteResult",
    "WriteStatus",
    "create_http_client",
    "settle_write",
]
