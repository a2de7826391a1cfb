"""Store objects, read by a few entry instances and relayed to the others."""

from __future__ import annotations

from sapphireledge.feed.feed_runner import FeedRunner
from sapphireledge.feed.feed_settings import FeedSettings, KindSettings
from sapphireledge.feed.freshness_check import FreshnessCheck
from sapphireledge.feed.kind_activity import KindActivity
from sapphireledge.feed.kind_feed import KindFeed
from sapphireledge.feed.kind_listener import KindListener
from sapphireledge.feed.kind_watcher import KindWatcher
from sapphireledge.feed.object_order import ObjectOrder
from sapphireledge.feed.object_record import ObjectRecord
from sapphireledge.feed.object_source import ObjectSource
from sapphireledge.feed.peer import Peer
from sapphireledge.feed.peer_directory import PeerDirectory
from sapphireledge.feed.source_error import SourceError
from sapphireledge.feed.store_epoch import StoreEpoch
from sapphireledge.feed.store_page import StoredEntry, StorePage
from sapphireledge.feed.store_presence import StorePresence
from sapphireledge.feed.stored_version import StoredVersion

__all__ = [
    "FeedRunner",
    "FeedSettings",
    "FreshnessCheck",
    "KindActivity",
    "KindFeed",
    "KindListener",
    "KindSettings",
    "KindWatcher",
    "ObjectOrder",
    "ObjectRecord",
    "ObjectSource",
    "Peer",
    "PeerDirectory",
    "SourceError",
    "StoreEpoch",
    "StorePage",
    "StorePresence",
    "StoredEntry",
    "StoredVersion",
]
