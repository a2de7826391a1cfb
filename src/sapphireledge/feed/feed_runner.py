"""Decides whether this instance reads the store or follows another instance."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random
from time import monotonic
from typing import TYPE_CHECKING

import structlog
import xxhash

from sapphireledge.feed.feed_follower import FeedFollower
from sapphireledge.feed.feed_server import FeedServer
from sapphireledge.feed.relay_list import RelayList
from sapphireledge.feed.source_error import SourceError
from sapphireledge.gateway import GatewayEvent, wait_for_event

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sapphireledge.feed.feed_settings import FeedSettings
    from sapphireledge.feed.freshness_check import FreshnessCheck
    from sapphireledge.feed.kind_feed import KindFeed
    from sapphireledge.feed.kind_watcher import KindWatcher
    from sapphireledge.feed.peer import Peer
    from sapphireledge.feed.peer_directory import PeerDirectory
    from sapphireledge.feed.store_epoch import StoreEpoch
    from sapphireledge.gateway import LoadExchange
    from sapphireledge.limits import CallerLedger

__all__ = ["FeedRunner"]


INITIAL_DIRECTORY_INTERVALS = (1.0, 3.0)
"""Seconds between the first reads of the directory; instances that start at the same time announce
themselves in the meantime."""

LOW_PRECEDENCE_THRESHOLD = 3
"""Number of preceding instances from which an instance has low precedence and makes fewer calls to
the store; losing that many instances at once is rare."""

FIRST_SEARCH_INTERVAL = 0.2
"""Seconds between two searches for a relay at the first start of the whole system."""

ANNOUNCE_SPREAD = 2.0
"""Seconds over which the instances announce themselves again after the store was restored."""

RECOUNT_DELAY = 5.0
"""Seconds after a restore of the store during which fewer announced instances do not count: all
announce themselves again within `ANNOUNCE_SPREAD`, and a listing may be seconds old."""

MAX_RELAY_ATTEMPTS = 8
"""Preceding instances tried in one search for a relay. If the store refuses half of the instances,
one search in 256 finds none."""

SUCCESSORS = 2
"""Preceding instances tried at a time in the search for the successor of a lost relay, which is
usually the first of them."""


class FeedRunner:
    """Keeps the feeds up to date with few calls to the store.

    The instances of a data centre have a fixed precedence. Each follows the first healthy instance
    that precedes it, and reads the store itself if there is none. Neither leader election nor
    consensus is needed: two instances that both read the store only cost some extra calls.
    """

    def __init__(
        self,
        cfg: FeedSettings,
        local_peer: Peer,
        feeds: Mapping[str, KindFeed],
        watchers: Sequence[KindWatcher],
        directory: PeerDirectory,
        epoch: StoreEpoch,
        ledger: CallerLedger | None = None,
        exchange: LoadExchange | None = None,
        checks: Sequence[FreshnessCheck] = (),
    ) -> None:
        """Creates the runner.

        Args:
            cfg: Settings.
            local_peer: Description of this instance.
            feeds: Feeds by kind.
            watchers: One watcher for each kind.
            directory: Directory of all instances.
            epoch: Notices that the store came back from an older copy.
            ledger: Limits on the connections of followers; those of a small machine by default.
            exchange: Load that the instances share, None to share none.
            checks: Bounds on the age of the kinds that must be up to date.
        """
        self._cfg = cfg
        self._checks = checks
        for check in checks:
            check.is_needed = lambda: not self._is_reading
            check.on_behind = self._leave_relay
        self._is_reading = False
        self._local_peer = local_peer
        self._watchers = watchers
        self._directory = directory
        self._follower = FeedFollower(cfg, feeds, epoch, local_peer.name, exchange)
        self._server = FeedServer(cfg, feeds, epoch, self._can_relay, ledger, exchange)
        self.instance_count = 1
        """Instances announced in the store, including those that no longer exist."""

        self.announced: frozenset[str] = frozenset()
        """Names of these instances."""

        self.peers: tuple[Peer, ...] = ()
        """Descriptions of these instances."""

        self._relay = ""
        self._relays = RelayList(cfg)
        self._directory_refreshed = asyncio.Event()
        self._directory_read = asyncio.Event()
        self._must_announce = asyncio.Event()
        self._must_announce.set()
        self._recount_at = 0.0
        self._rng = Random()
        for feed in feeds.values():
            epoch.subscribe(feed.on_store_restored)
        for watcher in watchers:
            epoch.subscribe(watcher.wake)
        epoch.subscribe(self._on_store_restored)
        self._reported_lost: set[str] = set()
        self._stopping = False
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Keeps the feeds up to date until the task is cancelled."""
        server = await self._server.listen()
        parts = [asyncio.create_task(check.run()) for check in self._checks]
        parts.append(asyncio.create_task(self._poll_directory()))
        try:
            if not await self._search_at_start():
                await self._run_watchers()
            while True:
                peer = self._relays.choose(asyncio.get_running_loop().time())
                if peer is None:
                    await self._run_watchers()
                else:
                    await self._follow(peer)
        finally:
            for part in parts:
                part.cancel()
            server.close()

    def list_alive(self) -> frozenset[str]:
        """Lists the instances that exchanged a message of the feed with this one a moment ago.

        Returns:
            Names of its followers and of its relay.
        """
        followers = self._server.followers.current(monotonic())
        has_relay = self._relay and self._follower.reply_count
        return followers | {self._relay} if has_relay else followers

    def stop_relaying(self) -> None:
        """Makes followers switch to other instances before a graceful shutdown."""
        self._stopping = True

    def _can_relay(self) -> bool:
        """Whether this instance reads the store without failures and is not stopping."""
        return not self._stopping and self._reads_store()

    def _reads_store(self) -> bool:
        """Whether the last call succeeded for each kind that followers must have."""
        return all(watcher.is_healthy or watcher.is_optional for watcher in self._watchers)

    def _leave_relay(self) -> None:
        """Leaves a relay that is behind the store, which serves this instance."""
        if self._relay:
            self._follower.leave("the relay is behind the store")

    async def _follow(self, peer: Peer) -> None:
        """Follows an instance until it fails."""
        self._relay = peer.name
        reason = await self._follower.follow(peer)
        self._relay = ""
        followed = self._follower.reply_count > 0
        if followed:
            self._reported_lost.discard(peer.name)
        self._mark_failed(peer, reason)
        if followed and len(self._relays) > 1:
            # In the meantime, the next instance in precedence starts to read the store.
            await asyncio.sleep(self._cfg.takeover_delay)
            if self._relays.precedence >= LOW_PRECEDENCE_THRESHOLD:
                await self._wait_for_successor(peer)
        self._relays.begin_search(asyncio.get_running_loop().time(), is_new=followed)

    async def _wait_for_successor(self, lost: Peer) -> None:
        """Waits until an instance has taken over from a lost relay.

        The lost relay may have passed on unchanged objects for most of the time within which a
        configuration must be in force.
        """
        cfg = self._cfg
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(cfg.low_precedence_takeover_delay - cfg.takeover_delay):
                while not await self._find_relay(SUCCESSORS):
                    await asyncio.sleep(cfg.successor_interval * self._rng.uniform(0.5, 1.0))
                    self._relays.end_cooldowns(lost)

    async def _search_at_start(self) -> bool:
        """Searches for a relay before the store is read; returns whether one was found.

        Load pattern: instances are restarted one after another, and each one that reads the store
        first makes a listing of each kind that its relay sends a moment later as well.
        """
        if self._cfg.first_start_wait:
            return await self._search_at_first_start()
        if await wait_for_event(self._directory_read, self._cfg.start_wait):
            try:
                async with asyncio.timeout(self._cfg.start_wait):
                    return await self._find_relay()
            except TimeoutError:
                # The store is read meanwhile; the search goes on beside it.
                self._log.info(GatewayEvent.RELAY_LOST, relay="", reason="no relay at the start")
        return False

    async def _search_at_first_start(self) -> bool:
        """Searches for a relay once all instances are announced; returns whether one was found.

        Load pattern: the whole system starts at once with an empty directory. No instance knows
        that others precede it, so each one would make a listing of each kind.
        """
        await asyncio.sleep(self._cfg.first_start_wait)
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + self._cfg.search_limit
        while self._relays and loop.time() < give_up_at:
            if await self._find_relay():
                return True
            # The relay may not have read the store yet.
            await asyncio.sleep(FIRST_SEARCH_INTERVAL)
            self._relays.end_cooldowns()
        return False

    async def _run_watchers(self) -> None:
        """Reads the store until a relay is found."""
        has_low_precedence = len(self._relays) >= LOW_PRECEDENCE_THRESHOLD
        start_delay = self._cfg.start_pause if has_low_precedence else 0.0
        tasks = [asyncio.create_task(watcher.run(start_delay)) for watcher in self._watchers]
        self._relays.end_search()
        self._is_reading = True
        try:
            await self._wait_for_recheck()
            while not await self._find_relay():
                await self._wait_for_recheck()
        finally:
            self._is_reading = False
            for task in tasks:
                task.cancel()

    async def _wait_for_recheck(self) -> None:
        """Waits until the next search for a relay is due.

        A backup whose own calls fail searches sooner and also tries relays in their cooldown.
        """
        for watcher in self._watchers:
            watcher.set_retry_delays(*self._retry_delays(self._relays.precedence))
        if await self._wait_for_directory(self._cfg.backup_recheck_interval):
            return
        if not self._relays or self._reads_store():
            await self._wait_for_directory(
                self._cfg.recheck_interval - self._cfg.backup_recheck_interval
            )
        else:
            self._relays.end_cooldowns()

    def _retry_delays(self, preceding_count: int) -> tuple[float, float]:
        """Returns first and maximum retry delay for a number of preceding instances."""
        cfg = self._cfg
        if preceding_count >= LOW_PRECEDENCE_THRESHOLD:
            return cfg.low_precedence_retry_base, cfg.low_precedence_retry_cap
        if preceding_count:
            return cfg.backup_retry_base, cfg.backup_retry_cap
        return cfg.retry_base, cfg.retry_cap

    async def _wait_for_directory(self, timeout: float) -> bool:
        """Waits for one of the first directory reads; returns whether it happened in time."""
        read = await wait_for_event(self._directory_refreshed, timeout)
        self._directory_refreshed.clear()
        return read

    async def _find_relay(self, attempts: int = MAX_RELAY_ATTEMPTS) -> bool:
        """Searches for a preceding instance that relays; returns whether one was found."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._cfg.long_poll_timeout
        for _ in range(attempts):
            peer = self._relays.choose(loop.time())
            if peer is None or loop.time() >= deadline:
                return False
            reason = await self._follower.follow(peer, once=True)
            if not reason:
                self._reported_lost.discard(peer.name)
                self._relays.on_reply(peer)
                self._log.info(GatewayEvent.RELAY_FOUND, relay=peer.name)
                return True
            self._mark_failed(peer, reason)
        return False

    def _mark_failed(self, peer: Peer, reason: str) -> None:
        """Starts the cooldown of a relay; only the first of consecutive failures is logged."""
        now = asyncio.get_running_loop().time()
        self._relays.on_failure(now, peer, replied=self._follower.has_reply)
        if peer.name not in self._reported_lost:
            self._reported_lost.add(peer.name)
            self._log.info(GatewayEvent.RELAY_LOST, relay=peer.name, reason=reason)

    async def _poll_directory(self) -> None:
        """Announces this instance and reads the directory periodically."""
        intervals = list(INITIAL_DIRECTORY_INTERVALS)
        while True:
            try:
                peers = await self._directory.list_peers()
                self.instance_count = self._count_instances(peers)
                self.peers = tuple(peers)
                self.announced = frozenset(peer.name for peer in peers)
                self._relays.replace(self._select_preceding(peers))
                self._directory_read.set()
                if self._must_announce.is_set():
                    self._must_announce.clear()
                    await self._announce(peers)
            except Exception as exc:
                if isinstance(exc, SourceError):
                    self._log.warning(GatewayEvent.STORE_LOST, kind="peers", reason=str(exc))
                else:
                    self._log.error(GatewayEvent.INTERNAL_ERROR, kind="peers", exc_info=exc)
                await asyncio.sleep(self._cfg.recheck_interval)
                continue
            if intervals:
                # Triggers a search for a relay. A restarted instance finds one at once; instances
                # that start together find one after they have announced themselves.
                self._relays.end_cooldowns()
                self._directory_refreshed.set()
            interval = intervals.pop(0) if intervals else self._cfg.directory_interval
            if await wait_for_event(self._must_announce, interval):
                await asyncio.sleep(self._rng.uniform(0.0, ANNOUNCE_SPREAD))

    async def _announce(self, peers: Sequence[Peer]) -> None:
        """Stores the description of this instance unless it is listed.

        A failed attempt is repeated later.
        """
        if self._local_peer in peers and not self._is_recounting:
            return
        try:
            await self._directory.announce(self._local_peer)
        except BaseException:
            self._must_announce.set()
            raise

    def _on_store_restored(self) -> None:
        """Announces this instance again, as the store may have lost its description."""
        self._recount_at = asyncio.get_running_loop().time() + RECOUNT_DELAY
        self._must_announce.set()

    @property
    def _is_recounting(self) -> bool:
        """Whether a listing may still be older than a restore of the store."""
        return asyncio.get_running_loop().time() < self._recount_at

    def _count_instances(self, peers: Sequence[Peer]) -> int:
        """Counts the announced instances; after a restore, some are not announced again yet."""
        count = max(1, len(peers))
        if self._is_recounting:
            count = max(count, self.instance_count)
        return count

    def _select_preceding(self, peers: Sequence[Peer]) -> list[Peer]:
        """Returns the preceding instances of this data centre in order of precedence."""
        own_precedence = _precedence(self._local_peer)
        local = [peer for peer in peers if peer.data_centre == self._local_peer.data_centre]
        return sorted(
            (peer for peer in local if _precedence(peer) < own_precedence), key=_precedence
        )


def _precedence(peer: Peer) -> tuple[float, int]:
    """Returns the sort key: the fastest links first, because a relay sends to all followers."""
    return -peer.link_mbps, xxhash.xxh3_64_intdigest(peer.name.encode())
