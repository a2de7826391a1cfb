"""Serves store objects to the instances that follow this one."""

from __future__ import annotations

import asyncio
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING

import msgspec
import structlog
from msgspec.structs import replace

from sapphireledge.feed.feed_channel import encode_message, read_message
from sapphireledge.feed.feed_message import FeedEntry, FeedReply, FeedRequest, KindReply
from sapphireledge.feed.follower_names import FollowerNames
from sapphireledge.feed.source_error import SourceError
from sapphireledge.gateway import GatewayEvent, seconds_since_boot, wait_for_event
from sapphireledge.limits import CallerBudgets, CallerLedger, limit_reads, start_listener

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sapphireledge.feed.feed_settings import FeedSettings
    from sapphireledge.feed.kind_feed import KindFeed
    from sapphireledge.feed.store_epoch import StoreEpoch
    from sapphireledge.gateway import LoadExchange
    from sapphireledge.limits import CallerAccount

__all__ = ["FeedServer"]

MIN_REPLY_INTERVAL = 0.02
"""Shortest time in seconds between replies to one follower; building one may take milliseconds."""

MAX_REQUEST_BYTES = 4_096
"""Largest request in bytes; it holds one revision for each kind, and the load of the follower."""

MAX_KINDS = 32
"""Largest number of kinds in a request; a decoded one takes many times its bytes."""

WRITE_HIGH_WATER = 4_096
"""Unsent bytes of a follower above which its next request is not read."""

REPLY_WAIT = 0.3
"""Seconds for which a reply waits for memory; followers leave after 0.4 s without a first one."""

REPLY_POLL_INTERVAL = 0.02
"""Seconds between two attempts to get memory for a reply."""


class FeedServer:
    """Relays the objects that this instance reads from the store."""

    def __init__(
        self,
        cfg: FeedSettings,
        feeds: Mapping[str, KindFeed],
        epoch: StoreEpoch,
        can_relay: Callable[[], bool],
        ledger: CallerLedger | None = None,
        exchange: LoadExchange | None = None,
    ) -> None:
        """Creates the server.

        Args:
            cfg: Settings.
            feeds: Feeds by kind.
            epoch: Notices that the store came back from an older copy.
            can_relay: Returns whether this instance reads the store without failures and is not
                stopping.
            ledger: Limits on connections; those of a small machine by default.
            exchange: Load that the instances share, None to share none.
        """
        self._cfg = cfg
        self._feeds = feeds
        self._epoch = epoch
        self._is_reader = can_relay
        self._ledger = CallerLedger(CallerBudgets().followers) if ledger is None else ledger
        self.followers = FollowerNames()
        """Names of the instances that follow this one."""

        self._exchange = exchange
        self._progress = asyncio.Event()
        for feed in feeds.values():
            feed.on_progress = self._wake_waiters

    async def listen(self) -> asyncio.Server:
        """Starts to serve followers.

        Returns:
            The listener.
        """
        start = partial(asyncio.start_server, self.serve, limit=MAX_REQUEST_BYTES)
        return await start_listener(start, self._cfg.host, self._cfg.port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one follower until it disconnects.

        Args:
            reader: Stream from the follower.
            writer: Stream to the follower.
        """
        limit_reads(writer, MAX_REQUEST_BYTES)
        account = self._ledger.open(monotonic(), lambda reason: writer.transport.abort())
        if account is None:
            return writer.transport.abort()
        writer.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        account.count_unsent = writer.transport.get_write_buffer_size
        relayed_replies = 0
        name: str | None = None
        next_reply_at = 0.0
        try:
            while True:
                request = await read_message(reader, FeedRequest, MAX_REQUEST_BYTES)
                if max(len(request.revisions), len(request.newest)) > MAX_KINDS:
                    raise SourceError(f"request with {len(request.revisions)} kinds")
                account.serve(monotonic())
                self.followers.on_request(monotonic(), request.follower)
                await asyncio.sleep(max(0.0, next_reply_at - seconds_since_boot()))
                follower = self._read_load(request, name)
                name = name or follower
                reply = await self._build_reply(request)
                reply = replace(reply, number=request.number)
                if self._exchange is not None and follower and reply.kinds:
                    reply = replace(reply, load=self._exchange.answer(follower))
                next_reply_at = seconds_since_boot() + MIN_REPLY_INTERVAL
                relayed_replies += bool(reply.kinds)
                await self._send(reply, writer, account)
        except (SourceError, OSError) as exc:
            # An instance that only searches for a relay disconnects after one reply, many times
            # during an outage, and logs the result itself.
            if relayed_replies > 1:
                structlog.get_logger().info(GatewayEvent.FOLLOWER_LEFT, reason=str(exc))
        finally:
            account.close()
            if writer.transport.get_write_buffer_size():
                writer.transport.abort()
            else:
                writer.close()
        return None

    def _read_load(self, request: FeedRequest, name: str | None) -> str | None:
        """Takes over the load of a follower; returns its name if it is to be sent that of others.

        An instance that does not relay takes the load from its own relay.
        """
        if self._exchange is None or not self._is_reader():
            return None
        return self._exchange.on_request(request.load, name)

    async def _send(
        self, reply: FeedReply, writer: asyncio.StreamWriter, account: CallerAccount
    ) -> None:
        """Sends a reply once there is memory for it, and waits until it is on its way."""
        data = encode_message(reply)
        give_up_at = monotonic() + REPLY_WAIT
        while not account.try_resize(monotonic(), len(data)):
            if monotonic() > give_up_at:
                raise SourceError("no memory is left for replies")
            await asyncio.sleep(REPLY_POLL_INTERVAL)
        writer.write(data)
        account.wait_for_peer(monotonic())
        await writer.drain()
        account.try_resize(monotonic(), 0)

    def _can_relay(self) -> bool:
        """Whether this instance reads the store and holds a listing of each kind it must have."""
        return self._is_reader() and all(
            feed.revision is not None or feed.is_optional for feed in self._feeds.values()
        )

    def _wake_waiters(self) -> None:
        """Wakes every request that waits for updates."""
        self._progress.set()
        self._progress = asyncio.Event()

    async def _build_reply(self, request: FeedRequest) -> FeedReply:
        """Waits for updates, at most `long_poll_timeout`, and builds the reply."""
        received_at = seconds_since_boot()
        self._epoch.observe(request.epoch)
        if not request.at_once and self._is_reader() and not self._has_updates(request):
            # After the timeout, a reply without updates serves as a heartbeat.
            await wait_for_event(self._progress, self._cfg.long_poll_timeout)
        while (
            not request.at_once
            and self._is_reader()
            and not self._can_relay()
            and seconds_since_boot() - received_at < self._cfg.long_poll_timeout
        ):
            # Followers need not leave while the objects of a restored store are listed again.
            await wait_for_event(self._progress, self._cfg.long_poll_timeout)
        waited = seconds_since_boot() - received_at
        if not self._can_relay():
            return FeedReply(waited, {}, newer=self._collect_newer(request))
        # Revisions of another epoch say nothing about what the follower has.
        revisions = request.revisions if request.epoch == self._epoch.current else {}
        kinds = {
            kind: self._build_kind_reply(feed, revisions.get(kind))
            for kind, feed in self._feeds.items()
            if feed.revision is not None
        }
        return FeedReply(waited, kinds, self._epoch.current)

    def _collect_newer(self, request: FeedRequest) -> dict[str, list[FeedEntry]]:
        """Collects the objects in force that are newer than those of a follower.

        A restored store may have lost them before the follower started.
        """
        newer = {
            kind: [
                FeedEntry(name, msgspec.Raw(kept.content), False)
                for name, kept in feed.newer_objects(request.newest.get(kind))
            ]
            for kind, feed in self._feeds.items()
        }
        return {kind: entries for kind, entries in newer.items() if entries}

    def _has_updates(self, request: FeedRequest) -> bool:
        """Whether a follower is missing updates; after switching relays it may also be ahead."""
        if request.epoch != self._epoch.current:
            return self._can_relay()
        for kind, feed in self._feeds.items():
            known_revision = request.revisions.get(kind)
            if feed.revision is not None and (
                known_revision is None or feed.revision > known_revision
            ):
                return True
        return False

    def _build_kind_reply(self, feed: KindFeed, revision: int | None) -> KindReply:
        """Collects the entries of one kind that a follower is missing."""
        is_full, objects, removed = feed.changes_since(revision)
        assert feed.revision is not None
        # No name is among both, so their order does not matter.
        entries = [FeedEntry(name, None, True) for name in removed]
        entries += [FeedEntry(name, msgspec.Raw(kept.content), False) for name, kept in objects]
        records = None
        if any(kept.record is not None for _, kept in objects):
            records = [None] * len(removed) + [kept.record for _, kept in objects]
        return KindReply(feed.revision, feed.age, is_full, entries, records)
