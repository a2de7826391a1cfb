"""Decides whether an instance reads the store or follows another instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
import xxhash

from sapphireledge.feed.feed_follower import FeedFollower
from sapphireledge.feed.feed_server import FeedServer
from sapphireledge.feed.source_error import SourceError
from sapphireledge.gateway import GatewayEvent, is_set_within

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sapphireledge.feed.feed_settings import FeedSettings
    from sapphireledge.feed.kind_feed import KindFeed
    from sapphireledge.feed.kind_watcher import KindWatcher
    from sapphireledge.feed.peer import Peer
    from sapphireledge.feed.peer_directory import PeerDirectory

__all__ = ["FeedRunner"]


EARLY_READINGS = (1.0, 3.0)
"""Pauses in seconds between the first readings of the list of instances; those that start at the
same time announce themselves meanwhile."""

FAR_BEHIND = 3
"""Instances before one that leave it little to do; the loss of as many at once is rare."""

RELAYS_TRIED = 8
"""Most instances before one that it tries when it looks for a relay. If the store turns half of the
instances away, one in 256 finds none."""


class FeedRunner:
    """Keeps the feeds up to date with few calls to the store.

    The instances of a data centre have a fixed order. Each follows the first one before it that is
    sound, and reads the store itself if there is none. There is no election and nothing to agree
    on: two instances that both read the store cost some calls and no more.
    """

    def __init__(
        self,
        cfg: FeedSettings,
        own: Peer,
        feeds: Mapping[str, KindFeed],
        watchers: Sequence[KindWatcher],
        directory: PeerDirectory,
    ) -> None:
        """Creates the runner.

        Args:
            cfg: Settings.
            own: Description of this instance.
            feeds: Feeds by kind.
            watchers: Watcher of each kind.
            directory: List of instances.
        """
        self._cfg = cfg
        self._own = own
        self._watchers = watchers
        self._directory = directory
        self._follower = FeedFollower(cfg, feeds)
        self._server = FeedServer(cfg, feeds, self._is_source)
        self.instances = 1
        """Instances that are announced in the store, those that are gone included."""

        self._before: list[Peer] = []
        self._directory_read = asyncio.Event()
        self._avoid: dict[str, float] = {}
        self._reported: set[str] = set()
        self._stopping = False
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Keeps the feeds up to date until the task is cancelled."""
        server = await asyncio.start_server(self._server.serve, self._cfg.host, self._cfg.port)
        directory = asyncio.create_task(self._read_directory())
        try:
            while True:
                peer = self._next_peer()
                if peer is None:
                    await self._read_store()
                else:
                    await self._follow(peer)
        finally:
            directory.cancel()
            server.close()

    def stop_relaying(self) -> None:
        """Sends followers to other instances before a planned stop."""
        self._stopping = True

    def _is_source(self) -> bool:
        """Whether this instance reads the store now, without failures."""
        return not self._stopping and all(watcher.is_sound for watcher in self._watchers)

    def _next_peer(self) -> Peer | None:
        """Finds the first instance before this one that did not fail lately."""
        now = asyncio.get_running_loop().time()
        for peer in self._before:
            if self._avoid.get(peer.name, 0.0) <= now:
                return peer
        return None

    async def _follow(self, peer: Peer) -> None:
        """Follows an instance until it fails."""
        reason = await self._follower.follow(peer)
        followed = self._follower.answers > 0
        if followed:
            self._reported.discard(peer.name)
        self._note_failed(peer, reason)
        if followed and len(self._before) > 1:
            # The next instance in the order begins to read the store meanwhile.
            late = len(self._before) >= FAR_BEHIND
            await asyncio.sleep(self._cfg.late_handover_time if late else self._cfg.handover_time)

    async def _read_store(self) -> None:
        """Reads the store until an instance before this one may be followed again."""
        tasks = [asyncio.create_task(watcher.run()) for watcher in self._watchers]
        try:
            await self._pause()
            while not await self._find_relay():
                await self._pause()
        finally:
            for task in tasks:
                task.cancel()

    async def _pause(self) -> None:
        """Waits until it is time to look for a relay."""
        behind = len(self._before)
        for watcher in self._watchers:
            watcher.set_pauses(*self._retry_pauses(behind))
        if await self._is_directory_read(self._cfg.behind_recheck_period):
            return
        if not behind or all(watcher.is_sound for watcher in self._watchers):
            await self._is_directory_read(
                self._cfg.recheck_period - self._cfg.behind_recheck_period
            )
        else:
            self._avoid.clear()

    def _retry_pauses(self, behind: int) -> tuple[float, float]:
        """First and longest pause of an instance with a number of others before it."""
        cfg = self._cfg
        if behind >= FAR_BEHIND:
            return cfg.far_behind_retry_base, cfg.far_behind_retry_cap
        if behind:
            return cfg.behind_retry_base, cfg.behind_retry_cap
        return cfg.retry_base, cfg.retry_cap

    async def _is_directory_read(self, limit: float) -> bool:
        """Waits for one of the first readings of the list of instances."""
        read = await is_set_within(self._directory_read, limit)
        self._directory_read.clear()
        return read

    async def _find_relay(self) -> bool:
        """Looks for an instance before this one that relays, so that the store need not be read."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self._cfg.answer_period
        for _ in range(RELAYS_TRIED):
            peer = self._next_peer()
            if peer is None or loop.time() >= until:
                return False
            reason = await self._follower.follow(peer, once=True)
            if not reason:
                self._reported.discard(peer.name)
                self._log.info(GatewayEvent.RELAY_FOUND, relay=peer.name)
                return True
            self._note_failed(peer, reason)
        return False

    def _note_failed(self, peer: Peer, reason: str) -> None:
        """Avoids an instance for a while; the first of several failures is logged."""
        self._avoid[peer.name] = asyncio.get_running_loop().time() + self._cfg.avoid_time
        if peer.name not in self._reported:
            self._reported.add(peer.name)
            self._log.info(GatewayEvent.RELAY_LOST, relay=peer.name, reason=reason)

    async def _read_directory(self) -> None:
        """Announces this instance and learns of the others."""
        announced = False
        pauses = list(EARLY_READINGS)
        while True:
            try:
                if not announced:
                    await self._directory.announce(self._own)
                    announced = True
                peers = await self._directory.peers()
                self.instances = max(1, len(peers))
                self._before = self._preceding(peers)
            except SourceError as exc:
                self._log.warning(GatewayEvent.STORE_LOST, kind="peers", reason=str(exc))
                await asyncio.sleep(self._cfg.recheck_period)
                continue
            if pauses:
                # A restarted instance finds a relay at once; those that start together find one
                # when they have announced themselves.
                self._avoid.clear()
                self._directory_read.set()
            await asyncio.sleep(pauses.pop(0) if pauses else self._cfg.directory_period)

    def _preceding(self, peers: Sequence[Peer]) -> list[Peer]:
        """Orders the instances of the data centre that come before this one."""
        own = _order(self._own)
        local = [peer for peer in peers if peer.data_centre == self._own.data_centre]
        return sorted((peer for peer in local if _order(peer) < own), key=_order)


def _order(peer: Peer) -> tuple[float, int]:
    """Order of instances: the fastest links first, because a relay sends to all others."""
    return -peer.link, xxhash.xxh3_64_intdigest(peer.name.encode())
