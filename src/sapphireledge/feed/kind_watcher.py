"""Keeps a feed up to date by listing and watching the store."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import structlog

from sapphireledge.feed.source_error import SourceError
from sapphireledge.feed.store_presence import StorePresence
from sapphireledge.gateway import GatewayEvent, seconds_since_boot, wait_for_event

if TYPE_CHECKING:
    from sapphireledge.feed.feed_settings import FeedSettings, KindSettings
    from sapphireledge.feed.kind_activity import KindActivity
    from sapphireledge.feed.kind_feed import KindFeed
    from sapphireledge.feed.object_source import ObjectSource
    from sapphireledge.feed.store_page import StorePage

__all__ = ["KindWatcher"]

QUIET_START_DELAY = 2.5
"""Seconds before the first call for a kind of which no changes are expected. An instance that is
preceded by others has found its relay by then."""

QUIET_RETRY_DELAY = 6.0
"""Seconds between failed calls for such a kind; calls for other kinds show sooner that the store is
back."""


EARLY_MARGIN = 0.05
"""Seconds before the end of a watch from which an answer counts as one at its end."""


class KindWatcher:
    """Lists the objects of a kind, then watches for changes."""

    def __init__(
        self,
        source: ObjectSource,
        feed: KindFeed,
        kind_cfg: KindSettings,
        cfg: FeedSettings,
        presence: StorePresence | None = None,
        activity: KindActivity | None = None,
    ) -> None:
        """Creates a watcher.

        Args:
            source: Source that no other watcher uses; it makes one call at a time.
            feed: Feed to apply listings and changes to.
            kind_cfg: Settings of the kind.
            cfg: Settings of the feed.
            presence: Shared by the watchers of an instance, None if there is no other.
            activity: Tells when changes are expected, None if they always are.
        """
        self.is_healthy = False
        """Whether the last call succeeded."""

        self._source = source
        self._feed = feed
        self._kind_cfg = kind_cfg
        self._cfg = cfg
        self._retry_delays = (cfg.retry_base, cfg.retry_cap)
        self._rng = Random()
        self._log = structlog.get_logger()
        self._needs_relist = False
        self._has_listed = False
        self._has_paused = False
        self._failures = 0
        self._had_changes = False
        self._store_lost = False
        self._is_repeat = False
        self._presence = presence or StorePresence()
        self._activity = activity
        self._wake = asyncio.Event()
        if activity is not None:
            activity.subscribe(self.wake)
        self._last_success = seconds_since_boot()

    async def run(self, start_delay: float = 0.0) -> None:
        """Lists and watches until the task is cancelled.

        Args:
            start_delay: Seconds before the first call if the kind can start late and has not been
                listed yet.
        """
        if self._activity is not None and self._feed.revision is None:
            self.is_healthy = True
            if not self._activity.is_active:
                await wait_for_event(self._wake, QUIET_START_DELAY)
            elif self._kind_cfg.can_start_late:
                await asyncio.sleep(start_delay)
        elif self._kind_cfg.can_start_late and self._feed.revision is None:
            await asyncio.sleep(start_delay)
        try:
            while True:
                try:
                    await self._call_store()
                except SourceError as exc:
                    if self._is_repeat or not self.is_healthy:
                        await self._back_off(exc)
                    # A connection can stall while new ones work, so the call is repeated on a new
                    # one before the store counts as lost.
                    self._is_repeat = not self._is_repeat and self.is_healthy
                except Exception as exc:
                    # The objects of a kind must not stay as they are because of one of them.
                    self._log.error(
                        GatewayEvent.INTERNAL_ERROR, kind=self._kind_cfg.kind, exc_info=exc
                    )
                    self._needs_relist = True
                    await self._back_off(SourceError(repr(exc)))
        finally:
            self.is_healthy = False

    def set_retry_delays(self, base: float, cap: float) -> None:
        """Sets the backoff after failed calls.

        Args:
            base: First delay in seconds.
            cap: Maximum delay in seconds.
        """
        self._retry_delays = (base, cap)

    def wake(self) -> None:
        """Ends a long watch, because changes are expected or the store came back from a copy."""
        self._wake.set()

    async def _call_store(self) -> None:
        """Makes one list or watch call and applies its result."""
        self._wake.clear()
        started = seconds_since_boot()
        if self._is_quiet and not self._kind_cfg.quiet_wait:
            await self._wake.wait()
            return
        revision = self._feed.revision
        if revision is None or self._needs_relist:
            page = await self._source.list(self._kind_cfg.kind)
            self._record_success()
            self._needs_relist = False
            self._feed.apply_listing(page, started)
            if not self._has_listed:
                self._has_listed = True
                await self._pause_after_first_listing()
            return
        wait = self._choose_wait()
        call = self._source.watch(self._kind_cfg.kind, revision, wait)
        if self._is_quiet:
            watch = asyncio.create_task(call)
            if not await self._wait_while_quiet(watch):
                return
            changes = watch.result()
        else:
            changes = await call
        self._record_success()
        if changes is None:
            self._needs_relist = True
            return
        if self._feed.revision is None:
            # The store was restored meanwhile; the changes lead to a state that is gone.
            return
        self._had_changes = bool(changes.entries)
        self._feed.apply_changes(changes, self._confirmed_until(started, wait))
        if self._had_changes:
            await asyncio.sleep(self._kind_cfg.batch_delay)

    def _confirmed_until(self, started: float, wait: float) -> float:
        """Computes up to when the store has confirmed the objects.

        A watch without changes confirms its full time only if it was held open for it; an early
        answer may have been under way, or unread, for any part of the time.
        """
        was_held = seconds_since_boot() - started >= wait - EARLY_MARGIN
        if self._had_changes or not was_held:
            return started
        return min(started + wait, seconds_since_boot())

    async def _pause_after_first_listing(self) -> None:
        """Waits before the first watch of a new instance, unless changes are expected."""
        if self._activity is None or not self._activity.is_active:
            await wait_for_event(self._wake, self._cfg.start_pause)
        self._has_paused = not self.is_optional and self._cfg.start_pause > self._cfg.initial_wait

    @property
    def is_optional(self) -> bool:
        """Whether other instances can follow this one without the objects of the kind."""
        return self._activity is not None

    @property
    def _is_quiet(self) -> bool:
        """Whether no changes are expected and none have just arrived."""
        return (
            self._activity is not None
            and not self._activity.is_active
            and not self._had_changes
            and not self._is_repeat
            and self.is_healthy
        )

    def _choose_wait(self) -> float:
        """Returns the time for which the store is to hold open the next watch."""
        if self._is_quiet and self._kind_cfg.quiet_wait is not None:
            return self._kind_cfg.quiet_wait
        wait = self._kind_cfg.watch_wait
        if self._had_changes and self._kind_cfg.confirms:
            # A watch that returns changes confirms only its start time, so the next one is short.
            wait = self._cfg.confirm_wait
        if self._has_paused and self._kind_cfg.confirms:
            # The age has grown during the pause.
            wait = min(wait, self._cfg.initial_wait)
        self._has_paused = False
        if self._is_repeat or not self.is_healthy:
            # Other instances can follow this one as soon as one call succeeds.
            wait = min(wait, self._cfg.initial_wait)
        return wait

    async def _wait_while_quiet(self, watch: asyncio.Task[StorePage | None]) -> bool:
        """Waits for a long watch; returns False if it was ended because changes are expected."""
        wake = asyncio.create_task(self._wake.wait())
        try:
            await asyncio.wait({watch, wake}, return_when=asyncio.FIRST_COMPLETED)
            return watch.done()
        finally:
            wake.cancel()
            if not watch.done():
                watch.cancel()
                # The connection must be closed before the next call begins.
                await asyncio.wait({watch})

    def _record_success(self) -> None:
        """Resets the failure state and reports the recovery of the store."""
        now = seconds_since_boot()
        self._presence.on_success(now)
        if self._store_lost or self._is_repeat:
            away = self._presence.longest_gap(self._last_success)
            self._feed.notify_store_recovered(away)
            self._log.info(
                GatewayEvent.STORE_REGAINED, kind=self._kind_cfg.kind, away_s=round(away, 3)
            )
        self._store_lost = self._is_repeat = False
        self.is_healthy = True
        self._last_success = now
        self._failures = 0

    async def _back_off(self, exc: SourceError) -> None:
        """Reports the loss of the store and waits with exponential backoff and jitter."""
        self.is_healthy = False
        self._feed.on_progress()
        if not self._store_lost:
            self._store_lost = True
            self._log.warning(GatewayEvent.STORE_LOST, kind=self._kind_cfg.kind, reason=str(exc))
        if self._activity is not None and not self._activity.is_active:
            await wait_for_event(self._wake, QUIET_RETRY_DELAY)
            return
        if not self._kind_cfg.confirms:
            return await self._presence.wait_for_success(self._cfg.passive_retry_interval)
        base, cap = self._retry_delays
        delay = min(cap, base * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
        return None
