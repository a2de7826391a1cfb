"""Writing of recorded events to the platform in segments."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog
import zstandard

from sapphireledge.objects.settle_write import settle_write
from sapphireledge.objects.write_result import WriteStatus
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.core.replay import EventLog, EventSegment
    from sapphireledge.objects.object_store import ObjectStore
    from sapphireledge.settings import Settings

__all__ = ["SEGMENT_PREFIX", "SegmentWriter", "segment_key"]

SEGMENT_PREFIX = "events/"
"""Prefix of the object keys of segments."""

MAX_SEGMENT_BYTES = 2_097_152
"""Uncompressed size of a segment; compressed, it is far below the 1 MB limit of an object."""

BUCKET_SECONDS = 3600
"""Length of the time bucket in a segment's key, in seconds."""

SETTLE_TIMEOUT = 5.0
"""Seconds to write a segment and determine whether it was written."""

RETRY_DELAY = 2.0
"""Seconds between two attempts while the platform is unreachable."""


def segment_key(time_unix: float, instance: str, incarnation: str, number: int) -> str:
    """Builds the key of a segment.

    Keys sort by time first, so that old segments are found without listing all of them.

    Args:
        time_unix: Time of writing in Unix seconds.
        instance: Name of the instance.
        incarnation: Id of the current run of the process.
        number: Number of the segment within this run.

    Returns:
        The key.
    """
    bucket = int(time_unix) // BUCKET_SECONDS * BUCKET_SECONDS
    return f"{SEGMENT_PREFIX}{bucket:012d}/{instance}/{incarnation}/{number:08d}"


class SegmentWriter:
    """Writes the recorded events of one instance."""

    def __init__(
        self,
        cfg: Settings,
        log: EventLog,
        store: ObjectStore,
        incarnation: str,
        count_entries: Callable[[], int],
    ) -> None:
        """Creates the writer; `run` starts it.

        Args:
            cfg: Settings of the instance.
            log: Log of recorded events.
            store: The platform's object API.
            incarnation: Id of the current run of this process.
            count_entries: Returns the number of live entry instances, which share the write rate.
        """
        self._cfg = cfg
        self._log = log
        self._store = store
        self._incarnation = incarnation
        self._count_entries = count_entries
        self._pending: EventSegment | None = None
        self._logger = structlog.get_logger()

    @property
    def interval(self) -> float:
        """Seconds between two segments of this instance."""
        telemetry = self._cfg.telemetry
        return max(telemetry.segment_interval, self._count_entries() / telemetry.segment_rate)

    async def run(self) -> None:
        """Writes the recorded events at each interval until the task is cancelled."""
        written = True
        while True:
            await asyncio.sleep(self.interval if written else RETRY_DELAY)
            written = await self.flush()

    async def flush(self) -> bool:
        """Writes all recorded events that are not yet written.

        Returns:
            False if the platform did not store them; they are kept for the next flush.
        """
        while True:
            if self._pending is None:
                self._pending = self._log.take_segment(MAX_SEGMENT_BYTES)
            if self._pending is None:
                return True
            if not await self._write(self._pending):
                return False
            self._pending = None

    async def _write(self, segment: EventSegment) -> bool:
        """Writes one segment; returns whether it is stored."""
        key = segment_key(time.time(), self._cfg.instance, self._incarnation, segment.number)
        value = zstandard.ZstdCompressor(level=6).compress(segment.lines)
        # The key contains the incarnation and the number, so an existing object is this segment.
        result = await settle_write(self._store, key, value, self._incarnation, 0, SETTLE_TIMEOUT)
        written = result.status in (WriteStatus.WRITTEN, WriteStatus.CONFLICT)
        if written:
            self._logger.debug(
                LogEvent.SEGMENT_WRITTEN,
                number=segment.number,
                events=segment.events,
                bytes=len(value),
            )
        return written
