"""Local copy of the objects of one kind."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import structlog

from sapphireledge.feed.store_page import StoredEntry
from sapphireledge.gateway import GatewayEvent, seconds_since_boot

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sapphireledge.feed.kind_listener import KindListener
    from sapphireledge.feed.store_page import StorePage

__all__ = ["KindFeed"]

MAX_HISTORY = 1_000
"""Changes kept for followers; a follower that is further behind receives a full listing."""


class KindFeed:
    """Holds the objects of one kind, passes changes to a listener and keeps the recent ones.

    Revisions are those of the store, so a follower can continue with any other instance. A page
    older than the objects is ignored, because the next relay may be behind the last one.
    """

    def __init__(self, kind: str, listener: KindListener, *, is_optional: bool = False) -> None:
        """Creates an empty feed.

        Args:
            kind: Name of the kind.
            listener: Receiver of listings and changes.
            is_optional: Whether other instances can follow this one without the objects.
        """
        self.is_optional = is_optional
        """Whether other instances can follow this one without the objects."""

        self.kind = kind
        """Name of the kind."""

        self.revision: int | None = None
        """Revision that the objects reflect, None before the first listing."""

        self.confirmed_at = float("-inf")
        """Time on the `seconds_since_boot` clock at which the objects were last known to be
        current."""

        self.on_progress: Callable[[], None] = lambda: None
        """Called after a change or confirmation, and when the watcher fails."""

        self._listener = listener
        self._objects: dict[str, StoredEntry] = {}
        self._changes: deque[tuple[int, StoredEntry]] = deque()
        self._history_start = 0
        self._has_dropped = False
        self._log = structlog.get_logger()

    @property
    def age(self) -> float:
        """Seconds since the objects were last known to be current, infinite before a listing."""
        return seconds_since_boot() - self.confirmed_at

    def apply_listing(self, page: StorePage, as_of: float) -> None:
        """Replaces all objects.

        Args:
            page: Full listing.
            as_of: Time on the `seconds_since_boot` clock; the listing has all earlier changes.
        """
        if self._is_outdated(page):
            return
        listed = {entry.name for entry in page.entries}
        removed = [StoredEntry(name, None, True) for name in self._objects.keys() - listed]
        changed = [entry for entry in page.entries if self._differs(entry)]
        if self.revision is None:
            self._history_start = page.revision
        self._record_changes(page.revision, [*removed, *changed])
        self._listener.replace_all(page.entries)
        self._advance(page.revision, as_of)

    def apply_changes(self, page: StorePage, as_of: float) -> None:
        """Applies changes.

        Args:
            page: Changed and removed objects.
            as_of: Time on the `seconds_since_boot` clock; no earlier change is missing.
        """
        if self.revision is None or self._is_outdated(page):
            return
        self._record_changes(page.revision, page.entries)
        self._listener.apply(page.entries)
        self._advance(page.revision, as_of)

    def notify_store_recovered(self, outage: float) -> None:
        """Notifies the listener that the store answers again after a failure.

        Args:
            outage: Longest time in seconds without a successful call of any kind.
        """
        self._listener.on_store_recovered(outage)

    def on_store_restored(self) -> None:
        """Forgets the revision: the next page must be a listing of the store's new epoch.

        The objects stay in force until then.
        """
        self.revision = None
        self._changes.clear()
        self._listener.on_store_restored()
        self.on_progress()

    def entries_since(self, revision: int | None) -> tuple[bool, tuple[StoredEntry, ...]]:
        """Collects the entries that a follower is missing.

        Args:
            revision: Revision that the follower has reached, None before its first listing.

        Returns:
            Whether the entries are a full listing, and the entries.
        """
        if revision is None or revision < self._history_start:
            return True, tuple(self._objects.values())
        return False, tuple(
            entry for change_revision, entry in self._changes if change_revision > revision
        )

    def _is_outdated(self, page: StorePage) -> bool:
        """Whether a page is older than the objects; only the first of a series is logged."""
        if self.revision is None or page.revision >= self.revision:
            self._has_dropped = False
            return False
        if not self._has_dropped:
            self._has_dropped = True
            self._log.warning(
                GatewayEvent.PAGE_DROPPED,
                kind=self.kind,
                revision=page.revision,
                known_revision=self.revision,
            )
        return True

    def _differs(self, entry: StoredEntry) -> bool:
        """Whether an entry is new or differs from the current object."""
        return self._objects.get(entry.name) != entry

    def _record_changes(self, revision: int, entries: Iterable[StoredEntry]) -> None:
        """Applies changes to the objects and adds them to the history for followers."""
        for entry in entries:
            if entry.removed:
                self._objects.pop(entry.name, None)
            else:
                self._objects[entry.name] = entry
            self._changes.append((revision, entry))
        while len(self._changes) > MAX_HISTORY:
            self._history_start = self._changes.popleft()[0]

    def _advance(self, revision: int, as_of: float) -> None:
        """Updates revision and confirmation time, and calls `on_progress`."""
        self.revision = revision
        if as_of > self.confirmed_at:
            self.confirmed_at = as_of
            self._listener.confirm(as_of)
        self.on_progress()
