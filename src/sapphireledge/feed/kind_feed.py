"""Local copy of the objects of one kind."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.feed.kept_object import KeptObject
from sapphireledge.feed.store_page import StoredEntry
from sapphireledge.gateway import GatewayEvent, seconds_since_boot

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sapphireledge.feed.kind_listener import KindListener
    from sapphireledge.feed.object_order import ObjectOrder
    from sapphireledge.feed.store_page import StorePage

__all__ = ["KindFeed"]

MAX_REMOVALS = 1_000
"""Removals kept for followers; a follower that is further behind receives a full listing."""


class KindFeed:
    """Holds the objects of one kind and passes changes to a listener.

    Only the latest version of each object is kept, encoded and with its revision. A follower that
    lags is sent that version, however many it has missed, so memory does not grow with changes.

    Revisions are those of the store, so a follower can continue with any other instance. A page
    older than the objects is ignored, because the next relay may be behind the last one.
    """

    def __init__(
        self,
        kind: str,
        listener: KindListener,
        *,
        is_optional: bool = False,
        order: ObjectOrder | None = None,
    ) -> None:
        """Creates an empty feed.

        Args:
            kind: Name of the kind.
            listener: Receiver of listings and changes.
            is_optional: Whether other instances can follow this one without the objects.
            order: Tells which entries are older than what the listener has in force; followers
                are sent the kept object instead.
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
        self._order = order
        # Names of objects that the store may have lost.
        self._lost_by_store: set[str] = set()
        self._objects: dict[str, KeptObject] = {}
        # In the order of their last change, like the objects.
        self._removals: dict[str, int] = {}
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
        if self.revision is None:
            self._history_start = page.revision
            self._objects = {
                entry.name: self._objects[entry.name]
                for entry in page.entries
                if entry.name in self._objects and self._is_superseded(entry)
            }
            self._removals.clear()
        changed = [
            entry
            for entry in page.entries
            if self._differs(entry) or entry.name in self._lost_by_store
        ]
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

    @property
    def newest(self) -> int | None:
        """Version of the object in force, None without one or if the objects have no order."""
        return None if self._order is None else self._order.newest

    def newer_objects(self, version: int | None) -> list[tuple[str, KeptObject]]:
        """Collects the objects for an instance that has an earlier version in force.

        Args:
            version: Version in force there, None without one.

        Returns:
            The objects with their names, none if that version is as new.
        """
        newest = self.newest
        if newest is None or (version is not None and version >= newest):
            return []
        return list(self._objects.items())

    def take_over(self, entries: Iterable[StoredEntry]) -> None:
        """Puts objects in force that another instance had in force, without confirming them.

        Args:
            entries: The objects; those that are not newer are ignored.
        """
        if self._order is None:
            return
        newer = [e for e in entries if self._differs(e) and not self._order.is_superseded(e)]
        for entry in newer:
            self._objects[entry.name] = KeptObject(0, _encode(entry), entry.record)
            self._lost_by_store.add(entry.name)
        self._listener.apply(newer)

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
        self._listener.on_store_restored()
        self.on_progress()

    def changes_since(
        self, revision: int | None
    ) -> tuple[bool, list[tuple[str, KeptObject]], list[str]]:
        """Collects what a follower is missing.

        Args:
            revision: Revision that the follower has reached, None before its first listing.

        Returns:
            Whether the objects are a full listing, the objects with their names, and the names of
            removed objects.
        """
        if revision is None or revision < self._history_start:
            return True, list(self._objects.items()), []
        return (
            False,
            _newer_objects(self._objects, revision),
            _newer_names(self._removals, revision),
        )

    def _is_superseded(self, entry: StoredEntry) -> bool:
        """Whether an entry is older than the object in force."""
        return self._order is not None and self._order.is_superseded(entry)

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
        kept = self._objects.get(entry.name)
        return kept is None or (kept.content, kept.record) != (_encode(entry), entry.record)

    def _record_changes(self, revision: int, entries: Iterable[StoredEntry]) -> None:
        """Applies changes to the objects, and records removals for followers."""
        for entry in entries:
            kept = self._objects.pop(entry.name, None)
            self._removals.pop(entry.name, None)
            self._lost_by_store.discard(entry.name)
            if kept is not None and self._is_superseded(entry):
                self._lost_by_store.add(entry.name)
                self._objects[entry.name] = KeptObject(revision, kept.content, kept.record)
            elif entry.removed:
                self._removals[entry.name] = revision
            else:
                self._objects[entry.name] = KeptObject(revision, _encode(entry), entry.record)
        while len(self._removals) > MAX_REMOVALS:
            self._history_start = self._removals.pop(next(iter(self._removals)))

    def _advance(self, revision: int, as_of: float) -> None:
        """Updates revision and confirmation time, and calls `on_progress`.

        While the store lacks an object that is passed on, nothing shows that it is the latest one.
        """
        self.revision = revision
        if as_of > self.confirmed_at and not self._lost_by_store:
            self.confirmed_at = as_of
            self._listener.confirm(as_of)
        self.on_progress()


def _encode(entry: StoredEntry) -> bytes:
    """Encodes the content of an object as it is sent to followers."""
    return msgspec.msgpack.encode(entry.spec)


def _newer_objects(objects: dict[str, KeptObject], revision: int) -> list[tuple[str, KeptObject]]:
    """Selects the objects that changed after a revision, in the order of their changes."""
    newer = itertools.takewhile(lambda item: item[1].revision > revision, reversed(objects.items()))
    return list(newer)[::-1]


def _newer_names(removals: dict[str, int], revision: int) -> list[str]:
    """Selects the objects that were removed after a revision, in the order of their removal."""
    newer = itertools.takewhile(lambda item: item[1] > revision, reversed(removals.items()))
    return [name for name, _ in newer][::-1]
