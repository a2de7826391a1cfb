"""Bounds the age of the objects that an instance takes over from a relay."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import structlog

from sapphireledge.feed.source_error import SourceError
from sapphireledge.gateway import GatewayEvent, seconds_since_boot

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.feed.feed_settings import FeedSettings
    from sapphireledge.feed.kind_feed import KindFeed
    from sapphireledge.feed.object_source import ObjectSource

__all__ = ["FreshnessCheck"]

MIN_WAIT = 0.01
"""Shortest wait in seconds for the moment at which a check is due."""

POLL_INTERVAL = 0.25
"""Seconds between two looks at the age while the check is not needed."""


class FreshnessCheck:
    """Reads a kind from the store once its objects have not been confirmed for too long.

    A relay that is cut off from the store, slow or suspended does not know that it is behind, and a
    successor has to be found among instances that may be cut off, too. Each of these steps has a
    timeout, but their sum exceeds the time within which a change must be in force. So each
    instance bounds the age itself, whatever delays its relay.
    """

    def __init__(
        self,
        source: ObjectSource,
        feed: KindFeed,
        cfg: FeedSettings,
        on_call: Callable[[str, str], None] = lambda kind, result: None,
    ) -> None:
        """Creates a check.

        Args:
            source: Source that nothing else uses; it makes one call at a time.
            feed: Feed to apply the response to.
            cfg: Settings of the feed.
            on_call: Called after each call with the kind and "current" or "failed".
        """
        self.is_needed: Callable[[], bool] = lambda: True
        """Whether the objects come from a relay; otherwise a watcher reads the store."""

        self.on_behind: Callable[[], None] = lambda: None
        """Called when the store has confirmed the objects and the relay has not."""

        self._source = source
        self._feed = feed
        self._cfg = cfg
        self._on_call = on_call
        self._failures = 0
        self._not_before = seconds_since_boot() + cfg.max_relayed_age
        self._rng = Random()
        self._spread = self._rng.uniform(0.0, cfg.freshness_spread)
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Checks the age until the task is cancelled."""
        while True:
            delay = self._due_at - seconds_since_boot()
            if delay > 0.0:
                await asyncio.sleep(max(delay, MIN_WAIT))
            elif not self.is_needed():
                await asyncio.sleep(POLL_INTERVAL)
            else:
                await self._check()

    @property
    def _due_at(self) -> float:
        """Time on the `seconds_since_boot` clock of the next call, unless a relay confirms."""
        overdue_at = self._feed.confirmed_at + self._cfg.max_relayed_age + self._spread
        return max(overdue_at, self._not_before)

    async def _check(self) -> None:
        """Reads the store once and schedules the next attempt after a failure."""
        started, age = seconds_since_boot(), self._feed.age
        reason, is_behind = "", False
        try:
            is_behind = await self._read()
        except SourceError as exc:
            reason = str(exc)
        except Exception as exc:
            self._log.error(GatewayEvent.INTERNAL_ERROR, kind=self._feed.kind, exc_info=exc)
            reason = repr(exc)
        now = seconds_since_boot()
        self._log.warning(
            GatewayEvent.OBJECTS_OVERDUE,
            kind=self._feed.kind,
            age_s=round(age, 3) if age < float("inf") else None,
            took_s=round(now - started, 3),
            reason=reason,
        )
        self._on_call(self._feed.kind, "failed" if reason else "current")
        self._spread = self._rng.uniform(0.0, self._cfg.freshness_spread)
        # The first call is repeated at once, as its connection may have stalled.
        delay = min(self._cfg.backup_retry_cap, self._failures * self._cfg.backup_retry_base)
        self._not_before = now + (delay if reason else self._cfg.max_relayed_age)
        self._failures = self._failures + 1 if reason else 0
        if is_behind:
            self.on_behind()

    async def _read(self) -> bool:
        """Reads the changes since the revision of the feed, or all objects.

        Returns:
            Whether the relay has not confirmed the objects in the meantime.
        """
        confirmed_at = self._feed.confirmed_at
        started = seconds_since_boot()
        revision = self._feed.revision
        changes = None
        if revision is not None:
            changes = await self._source.watch(self._feed.kind, revision, self._cfg.initial_wait)
        if changes is None:
            started = seconds_since_boot()
            listing = await self._source.list(self._feed.kind)
            is_behind = self._feed.confirmed_at == confirmed_at
            self._feed.apply_listing(listing, started)
            return is_behind
        is_behind = self._feed.confirmed_at == confirmed_at
        self._feed.apply_changes(changes, started)
        return is_behind
