"""Changes of a feed as a follower applies them."""

from __future__ import annotations

import msgspec

from sapphireledge.feed import StoredEntry


def list_changes(feed, revision):
    """Returns whether a follower is sent a full listing, and its entries, decoded."""
    is_full, objects, removed = feed.changes_since(revision)
    entries = [StoredEntry(name, None, True) for name in removed]
    for name, kept in objects:
        entries.append(StoredEntry(name, msgspec.msgpack.decode(kept.content), False, kept.record))
    return is_full, entries
