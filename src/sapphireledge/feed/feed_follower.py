"""Reads store objects from another instance instead of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from msgspec.structs import replace

from sapphireledge.feed.feed_channel import encode_message, read_message, write_message
from sapphireledge.feed.feed_message import FeedReply, FeedRequest, KindReply
from sapphireledge.feed.feed_server import MAX_REQUEST_BYTES
from sapphireledge.feed.source_error import SourceError
from sapphireledge.feed.store_page import StoredEntry, StorePage
from sapphireledge.gateway import GatewayEvent, seconds_since_boot

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.feed.feed_settings import FeedSettings
    from sapphireledge.feed.kind_feed import KindFeed
    from sapphireledge.feed.peer import Peer
    from sapphireledge.feed.store_epoch import StoreEpoch
    from sapphireledge.gateway import LoadExchange

__all__ = ["FeedFollower"]

MIN_LOAD_INTERVAL = 0.5
"""Shortest time in seconds between requests to one relay that carry load; series of changes cause
requests much more often."""

LOAD_HEADER_BYTES = 16
"""Bytes by which the load field is larger than its content, with some to spare."""


class FeedFollower:
    """Applies the replies of a relay to the feeds until the relay fails."""

    def __init__(
        self,
        cfg: FeedSettings,
        feeds: Mapping[str, KindFeed],
        epoch: StoreEpoch,
        name: str = "",
        exchange: LoadExchange | None = None,
    ) -> None:
        """Creates a follower.

        Args:
            cfg: Settings.
            feeds: Feeds by kind.
            epoch: Notices that the store came back from an older copy.
            name: Name of this instance.
            exchange: Exchanges the load with the relay, None to send and take in none.
        """
        self._cfg = cfg
        self._name = name
        self._exchange = exchange
        self._load_due_at = 0.0
        self._request_count = 0
        self._epoch = epoch
        self._feeds = feeds
        self.reply_count = 0
        """Replies with objects received from the current relay."""

        self.has_reply = False
        """Whether the current relay sent a reply, also if it does not read the store."""

        self._writer: asyncio.StreamWriter | None = None
        self._leave_reason = ""

    def leave(self, reason: str) -> None:
        """Disconnects from the current relay, if there is one.

        Args:
            reason: Reason that `follow` returns.
        """
        if self._writer is not None:
            self._leave_reason = reason
            self._writer.transport.abort()

    async def follow(self, peer: Peer, *, once: bool = False) -> str:
        """Follows a relay until it fails.

        Args:
            peer: Relay to connect to.
            once: Whether to disconnect after the first reply.

        Returns:
            Reason for the disconnect, empty if `once` was set and a reply arrived.
        """
        self.reply_count = 0
        self.has_reply = False
        try:
            async with asyncio.timeout(self._cfg.connect_timeout):
                reader, writer = await asyncio.open_connection(peer.host, peer.port)
        except (OSError, TimeoutError) as exc:
            return f"cannot connect: {exc!r}"
        self._writer, self._leave_reason = writer, ""
        try:
            while True:
                await self._poll(reader, writer, at_once=not self.reply_count)
                if once:
                    return ""
        except SourceError as exc:
            return self._leave_reason or str(exc)
        except Exception as exc:
            structlog.get_logger().error(GatewayEvent.INTERNAL_ERROR, relay=peer.name, exc_info=exc)
            return repr(exc)
        finally:
            self._writer = None
            writer.transport.abort()

    async def _poll(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, at_once: bool
    ) -> None:
        """Sends one request and applies the reply."""
        sent_at = seconds_since_boot()
        self._request_count += 1
        write_message(writer, self._build_request(sent_at, at_once=at_once))
        timeout = self._cfg.first_reply_timeout if at_once else self._cfg.reply_timeout
        try:
            async with asyncio.timeout(timeout):
                reply = await read_message(reader, FeedReply)
        except TimeoutError as exc:
            raise SourceError("relay did not reply in time") from exc
        if reply.number not in (self._request_count, None):
            raise SourceError("the reply is one to another request")
        self.has_reply = True
        for kind, entries in reply.newer.items():
            if kind in self._feeds:
                offered = [StoredEntry(entry.name, entry.spec, entry.removed) for entry in entries]
                self._feeds[kind].take_over(offered)
        if not reply.kinds:
            raise SourceError("relay is not reading the store, or is stopping")
        if not self._epoch.observe(reply.epoch):
            raise SourceError("relay follows a state that the store has lost")
        self.reply_count += 1
        if self._exchange is not None and reply.load is not None:
            self._exchange.on_reply(reply.load)
        for kind, part in reply.kinds.items():
            feed = self._feeds.get(kind)
            if feed is None:
                continue
            page = _build_page(part)
            # The relay built the reply at least `waited` seconds after the request was sent.
            as_of = sent_at + reply.waited - part.age
            if part.whole:
                feed.apply_listing(page, as_of)
            else:
                feed.apply_changes(page, as_of)

    def _build_request(self, now: float, *, at_once: bool) -> FeedRequest:
        """Builds a request, with the load that this instance has seen unless just sent."""
        revisions = {kind: feed.revision for kind, feed in self._feeds.items()}
        newest = {k: feed.newest for k, feed in self._feeds.items() if feed.newest is not None}
        request = FeedRequest(
            revisions,
            at_once,
            self._epoch.current,
            self._name,
            number=self._request_count,
            newest=newest,
        )
        if self._exchange is None or (now < self._load_due_at and not at_once):
            return request
        self._load_due_at = now + MIN_LOAD_INTERVAL
        room = MAX_REQUEST_BYTES - len(encode_message(request)) - LOAD_HEADER_BYTES
        return replace(request, load=self._exchange.describe(room))


def _build_page(part: KindReply) -> StorePage:
    """Builds a page from the entries of one kind and their records, if there are any."""
    records = part.records or [None] * len(part.entries)
    if len(records) != len(part.entries):
        raise SourceError("the reply does not have a record for each entry")
    entries = tuple(
        StoredEntry(entry.name, entry.spec, entry.removed, record)
        for entry, record in zip(part.entries, records, strict=True)
    )
    return StorePage(entries, part.revision)
