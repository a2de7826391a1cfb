"""Reads the origins of streams from the store for take-ups that cannot wait for the feed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from sapphireledge.feed import SourceError
from sapphireledge.gateway import GatewayEvent, seconds_since_boot
from sapphireledge.platform.stream_origin_writer import STREAM_ORIGIN_KIND

if TYPE_CHECKING:
    from sapphireledge.gateway import StreamOrigins
    from sapphireledge.platform.store_client import StoreClient
    from sapphireledge.platform.stream_origin_listener import StreamOriginListener

__all__ = ["StreamOriginReader"]

MIN_INTERVAL = 1.0
"""Shortest time in seconds between two reads; one serves all take-ups that wait for it."""


class StreamOriginReader:
    """Reads all stored origins when a take-up needs them and the feed is behind."""

    def __init__(
        self, store: StoreClient, origins: StreamOrigins, listener: StreamOriginListener
    ) -> None:
        """Creates a reader.

        Args:
            store: Client that nothing else uses.
            origins: Tells when to read.
            listener: Receiver of the listings.
        """
        self._store = store
        self._origins = origins
        self._listener = listener
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Reads on request until the task is cancelled."""
        while True:
            await self._origins.read_wanted.wait()
            # A take-up that asks during the read or the pause is read for afterwards.
            self._origins.read_wanted.clear()
            started = seconds_since_boot()
            try:
                page = await self._store.list(STREAM_ORIGIN_KIND)
                self._listener.replace_all(page.entries)
                self._listener.confirm(started)
                self._log.info(GatewayEvent.ORIGINS_READ, reports=len(page.entries), reason="")
            except SourceError as exc:
                self._log.info(GatewayEvent.ORIGINS_READ, reports=0, reason=str(exc))
            except Exception as exc:
                # Later take-ups must still be served.
                self._log.error(GatewayEvent.INTERNAL_ERROR, kind=STREAM_ORIGIN_KIND, exc_info=exc)
            await asyncio.sleep(MIN_INTERVAL)
