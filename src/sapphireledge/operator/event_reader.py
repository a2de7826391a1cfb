"""Reads the recorded events of a request from all instances."""

from __future__ import annotations

import asyncio
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import zstandard

from sapphireledge.core.replay import decode_events
from sapphireledge.errors import Failure
from sapphireledge.objects import SEGMENT_PREFIX

if TYPE_CHECKING:
    from sapphireledge.core.replay import RequestEvent
    from sapphireledge.entry.peer_service import PeerService
    from sapphireledge.objects import ObjectStore
    from sapphireledge.peers import PeerMesh

__all__ = ["EventReader", "RecordedEvents"]

PEER_TIMEOUT = 1.0
"""Time limit in seconds for the reply of one peer."""

PAGE_SIZE = 200
"""Segments per page of a listing."""

MAX_SEGMENT_BYTES = 16_777_216
"""Limit of the decompressed size of a segment; the segment writer stays below it."""

BUCKET_SECONDS = 3600
"""Length in seconds of the time bucket in a segment's key."""


@dataclass(frozen=True, slots=True)
class RecordedEvents:
    """Recorded events of one request and what is missing from them."""

    events: tuple[RequestEvent, ...]
    """Events by instance and time; instances in the order in which they owned the answer."""

    gaps: tuple[str, ...]
    """Sources that could not be read, one description each."""


class EventReader:
    """Reads events from the memory of the instances, else from the segments in the platform."""

    def __init__(self, local: PeerService, mesh: PeerMesh, store: ObjectStore) -> None:
        """Creates the reader.

        Args:
            local: Peer service of this instance, which holds its own events.
            mesh: Connections to the other instances.
            store: The platform's object API.
        """
        self._local = local
        self._mesh = mesh
        self._store = store

    async def read(self, answer_id: str) -> RecordedEvents:
        """Reads the events of one request.

        Args:
            answer_id: Key of the answer, "<workspace>~<request id>".

        Returns:
            The events, without duplicates, and the gaps.
        """
        gaps: list[str] = []
        encoded = await self._read_instances(answer_id, gaps)
        events = [event for text in encoded for event in decode_events(text)]
        if not events:
            events = await self._read_segments(answer_id, gaps)
        unique = {(e.instance, e.sequence, e.time, e.name): e for e in events}
        ordered = sorted(unique.values(), key=lambda e: (e.instance, e.time, e.sequence))
        return RecordedEvents(tuple(_order_by_epoch(ordered)), tuple(gaps))

    async def _read_instances(self, answer_id: str, gaps: list[str]) -> list[str]:
        """Reads the events from the memory of this instance and of every known peer."""
        local = await self._local.read_events(answer_id)
        encoded = [local.events] if not isinstance(local, Failure) else []
        names = [m.name for m in self._mesh.members if m.name != self._mesh.local_member.name]
        replies = await asyncio.gather(
            *(self._mesh.call(n, "read_events", answer_id, timeout=PEER_TIMEOUT) for n in names)
        )
        for name, reply in zip(names, replies, strict=True):
            if isinstance(reply, Failure):
                gaps.append(f"instance {name} did not answer: {reply.reason}")
                continue
            encoded.append(reply.events)
            gaps.extend(reply.gaps)
        return encoded

    async def _read_segments(self, answer_id: str, gaps: list[str]) -> list[RequestEvent]:
        """Reads the segments from the time buckets in which the request may have been recorded."""
        events: list[RequestEvent] = []
        needle = msgspec.json.encode(answer_id)
        for bucket in _candidate_buckets(answer_id):
            prefix = f"{SEGMENT_PREFIX}{bucket:012d}/"
            after = ""
            while True:
                page = await self._store.list(prefix, after, PAGE_SIZE)
                if isinstance(page, Failure):
                    gaps.append(f"segments of {bucket} could not be read: {page.reason}")
                    return events
                for found in page.objects:
                    events.extend(_decode_segment(found.value, answer_id, needle, gaps, found.key))
                after = page.next_after
                if not after:
                    break
        return events


def _decode_segment(
    value: bytes, answer_id: str, needle: bytes, gaps: list[str], key: str
) -> list[RequestEvent]:
    """Decodes the events of one request from a segment, skipping segments without its id."""
    try:
        lines = zstandard.ZstdDecompressor().decompress(value, MAX_SEGMENT_BYTES)
        if needle not in lines:
            return []
        return [event for event in decode_events(lines) if event.request_id == answer_id]
    except (zstandard.ZstdError, msgspec.DecodeError, RecursionError) as exc:
        gaps.append(f"segment {key} is damaged: {exc}")
        return []


def _candidate_buckets(answer_id: str) -> list[int]:
    """Returns the time buckets in which a request may have been recorded.

    These are the bucket of its start and the next one. Generated request ids are UUIDs of version
    7, which contain their creation time; the start of other requests is assumed one bucket ago.
    """
    now = int(time.time())
    start = now - BUCKET_SECONDS
    try:
        parsed = uuid.UUID(answer_id.rpartition("~")[2])
        if parsed.version == 7:
            start = (parsed.int >> 80) // 1000
    except ValueError:
        # Ids chosen by callers contain no time; search the previous and the current bucket.
        start = now - BUCKET_SECONDS
    first_bucket = start // BUCKET_SECONDS * BUCKET_SECONDS
    return [bucket for bucket in (first_bucket, first_bucket + BUCKET_SECONDS) if bucket <= now]


def _order_by_epoch(events: list[RequestEvent]) -> list[RequestEvent]:
    """Sorts instances by the lowest epoch in which they owned the answer.

    Instances without a recorded epoch come last.
    """
    first_epoch: dict[str, int] = {}
    for event in events:
        if event.name == "created":
            epoch = int(event.input.get("epoch", 0))
            first_epoch[event.instance] = min(first_epoch.get(event.instance, epoch), epoch)
    return sorted(events, key=lambda e: (first_epoch.get(e.instance, 1 << 62), e.instance))
