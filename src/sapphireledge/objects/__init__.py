"""Clients of the platform's object API and instance list, and the writer of event segments."""

from __future__ import annotations

from sapphireledge.objects.http_client import create_http_client
from sapphireledge.objects.instance import Instance, InstanceKind, InstanceState
from sapphireledge.objects.instance_source import InstanceSource
from sapphireledge.objects.instance_watcher import InstanceWatcher
from sapphireledge.objects.object_client import ObjectClient
from sapphireledge.objects.object_page import ObjectPage
from sapphireledge.objects.object_store import ObjectStore
from sapphireledge.objects.prefix_watcher import PrefixWatcher
from sapphireledge.objects.segment_writer import SEGMENT_PREFIX, SegmentWriter, segment_key
from sapphireledge.objects.settle_write import settle_write
from sapphireledge.objects.stored_object import StoredObject
from sapphireledge.objects.write_result import WriteResult, WriteStatus

__all__ = [
    "SEGMENT_PREFIX",
    "Instance",
    "InstanceKind",
    "InstanceSource",
    "InstanceState",
    "InstanceWatcher",
    "ObjectClient",
    "ObjectPage",
    "ObjectStore",
    "PrefixWatcher",
    "SegmentWriter",
    "StoredObject",
    "WriteResult",
    "WriteStatus",
    "create_http_client",
    "segment_key",
    "settle_write",
]
