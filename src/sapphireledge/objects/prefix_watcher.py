"""Continuous delivery of the objects below a key prefix."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.objects.stored_object import StoredObject
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sapphireledge.objects.object_page import ObjectPage
    from sapphireledge.objects.object_store import ObjectStore
    from sapphireledge.settings import PlatformSettings

__all__ = ["PrefixWatcher"]

PAGE_SIZE = 500
"""Objects requested per page of the listing."""


class PrefixWatcher:
    """Lists the objects below a key prefix and then watches them.

    `on_object` is called with each listed object and each later write, never with an older version
    of an object after a newer one. An object missing from a new listing is reported as deleted, at
    the version of that listing. After an outage the watch resumes from its version; the prefix is
    listed again only if the platform no longer keeps the writes since that version.

    `on_synced` is called with the store version up to which all writes were delivered. The versions
    of the delivered objects do not show this, because a listing is ordered by key. `on_reachable`
    is called when the platform becomes reachable or unreachable.
    """

    def __init__(
        self,
        store: ObjectStore,
        prefix: str,
        cfg: PlatformSettings,
        rng: Random,
        on_object: Callable[[StoredObject], None],
        on_reachable: Callable[[bool], None] = lambda reachable: None,
        on_synced: Callable[[int], None] = lambda version: None,
    ):
        self.version = 0
        """Store version up to which every write was delivered."""

        self.listed = False
        """Whether the prefix was listed completely; false again when a new listing is needed."""

        self.reachable: bool | None = None
        """Whether the last call succeeded, None before the first call has ended."""

        self._store = store
        self._prefix = prefix
        self._cfg = cfg
        self._rng = rng
        self._on_object = on_object
        self._on_reachable = on_reachable
        self._on_synced = on_synced
        self._versions: dict[str, int] = {}
        self._failures = 0
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Lists and watches until the task is cancelled."""
        while True:
            if not self.listed:
                await self._list()
            else:
                await self._watch()

    async def _list(self) -> None:
        """Reads all pages; a failed page leaves `listed` false, so that `run` lists again."""
        after, start_version, listed_keys = "", 0, set()
        while True:
            page = await self._store.list(self._prefix, after, PAGE_SIZE)
            if isinstance(page, Failure):
                return await self._back_off()
            self._set_reachable(True)
            # Watching from the first page's version delivers the writes made during the listing.
            start_version = start_version or page.version
            listed_keys.update(obj.key for obj in page.objects)
            self._deliver_page(page)
            after = page.next_after
            if not after:
                break
        for key in sorted(self._versions.keys() - listed_keys):
            self._deliver(StoredObject(key, b"", start_version, deleted=True))
        self.listed = True
        self._advance(start_version)

    async def _watch(self) -> None:
        """Waits for the next writes and delivers them."""
        page = await self._store.watch(self._prefix, self.version, self._cfg.watch_wait)
        if isinstance(page, Failure):
            if page.kind is ErrorKind.NOT_FOUND:
                self.listed = False
                return None
            return await self._back_off()
        self._set_reachable(True)
        self._deliver_page(page)
        self._advance(page.version)

    def _advance(self, version: int) -> None:
        """Records and reports the store version up to which every write was delivered."""
        self.version = max(self.version, version)
        self._on_synced(self.version)

    def _deliver_page(self, page: ObjectPage) -> None:
        """Delivers each object of a page."""
        for obj in page.objects:
            self._deliver(obj)

    def _deliver(self, obj: StoredObject) -> None:
        """Delivers an object unless the same or a newer version was already delivered."""
        if obj.version <= self._versions.get(obj.key, 0) or obj.version <= self.version:
            return
        if obj.deleted:
            self._versions.pop(obj.key, None)
        else:
            self._versions[obj.key] = obj.version
        try:
            self._on_object(obj)
        except Exception as exc:
            # One object must not end the delivery of all others.
            self._log.error(LogEvent.INTERNAL_ERROR, key=obj.key, exc_info=exc)

    def _set_reachable(self, reachable: bool) -> None:
        """Reports a change of reachability; a success resets the backoff."""
        if reachable:
            self._failures = 0
        if self.reachable is not reachable:
            self.reachable = reachable
            self._on_reachable(reachable)

    async def _back_off(self) -> None:
        """Reports the platform as unreachable and waits with jittered exponential backoff."""
        self._set_reachable(False)
        limit = min(self._cfg.retry_cap, self._cfg.retry_base * 2**self._failures)
        self._failures = min(self._failures + 1, 32)
        await asyncio.sleep(limit * self._rng.uniform(0.5, 1.0))
