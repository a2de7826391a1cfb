"""Finds the recorded events of a request in the whole fleet."""

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
from sapphireledge.telemetry import SEGMENT_PREFIX

if TYPE_CHECKING:
    from sapphireledge.core.replay import RequestEvent
    from sapphireledge.entry.peer_service import PeerService
    from sapphireledge.objects import ObjectStore
    from sapphireledge.peers import PeerMesh

__all__ = ["EventFinder", "FoundEvents"]

PEER_LIMIT = 1.0
"""Seconds for the answer of one peer."""

PAGE = 200
"""Segments listed at once."""

MAX_SEGMENT_BYTES = 16_777_216
"""Largest decompressed segment; a larger one is not one of ours."""

BUCKET = 3600
"""Length of the time bucket in a segment's key, in seconds."""


@dataclass(frozen=True, slots=True)
class FoundEvents:
    """Recorded events of a request."""

    events: tuple[RequestEvent, ...]
    """Events by instance, in their order."""

    gaps: tuple[str, ...]
    """What could not be read, one sentence each."""


class EventFinder:
    """Collects events from the instances' memory and from the segments in the platform."""

    def __init__(self, local: PeerService, mesh: PeerMesh, store: ObjectStore) -> None:
        """Creates the finder.

        Args:
            local: Events of this instance.
            mesh: Links to other instances.
            store: The platform's object API.
        """
        self._local = local
        self._mesh = mesh
        self._store = store

    async def find(self, answer_id: str) -> FoundEvents:
        """Collects the events of one request.

        Args:
            answer_id: Key of the answer, "<workspace>~<request id>".

        Returns:
            The events and the stated gaps.
        """
        gaps: list[str] = []
        texts = await self._from_instances(answer_id, gaps)
        events = [event for text in texts for event in decode_events(text)]
        if not events:
            events = await self._from_segments(answer_id, gaps)
        unique = {(e.instance, e.sequence, e.time, e.name): e for e in events}
        ordered = sorted(unique.values(), key=lambda e: (e.instance, e.time, e.sequence))
        return FoundEvents(tuple(_by_start(ordered)), tuple(gaps))

    async def _from_instances(self, answer_id: str, gaps: list[str]) -> list[str]:
        """Asks every instance that is known."""
        own = await self._local.read_events(answer_id)
        texts = [own.events] if not isinstance(own, Failure) else []
        names = [m.name for m in self._mesh.members if m.name != self._mesh.own.name]
        parts = await asyncio.gather(
            *(self._mesh.call(n, "read_events", answer_id, timeout=PEER_LIMIT) for n in names)
        )
        for name, part in zip(names, parts, strict=True):
            if isinstance(part, Failure):
                gaps.append(f"instance {name} did not answer: {part.reason}")
                continue
            texts.append(part.events)
            gaps.extend(part.gaps)
        return texts

    async def _from_segments(self, answer_id: str, gaps: list[str]) -> list[RequestEvent]:
        """Reads the segments written around the time of the request."""
        events: list[RequestEvent] = []
        needle = msgspec.json.encode(answer_id)
        for bucket in _buckets(answer_id):
            prefix = f"{SEGMENT_PREFIX}{bucket:012d}/"
            after = ""
            while True:
                page = await self._store.list(prefix, after, PAGE)
                if isinstance(page, Failure):
                    gaps.append(f"segments of {bucket} could not be read: {page.reason}")
                    return events
                for found in page.objects:
                    events.extend(_events_of(found.value, answer_id, needle, gaps, found.key))
                after = page.next_after
                if not after:
                    break
        return events


def _events_of(
    value: bytes, answer_id: str, needle: bytes, gaps: list[str], key: str
) -> list[RequestEvent]:
    """Reads the events of one request out of a segment."""
    try:
        lines = zstandard.ZstdDecompressor().decompress(value, MAX_SEGMENT_BYTES)
        if needle not in lines:
            return []
        return [event for event in decode_events(lines) if event.request_id == answer_id]
    except (zstandard.ZstdError, msgspec.DecodeError) as exc:
        gaps.append(f"segment {key} is damaged: {exc}")
        return []


def _buckets(answer_id: str) -> list[int]:
    """Hours in which a request can have been recorded; request ids made here carry their time."""
    now = int(time.time())
    start = now - BUCKET
    try:
        parsed = uuid.UUID(answer_id.rpartition("~")[2])
        if parsed.version == 7:
            start = (parsed.int >> 80) // 1000
    except ValueError:
        # An id that a caller chose carries no time; the last bucket and this one are read.
        start = now - BUCKET
    first = start // BUCKET * BUCKET
    return [bucket for bucket in (first, first + BUCKET) if bucket <= now]


def _by_start(events: list[RequestEvent]) -> list[RequestEvent]:
    """Orders the instances by the epoch of their first machine: owners follow each other."""
    first: dict[str, int] = {}
    for event in events:
        if event.name == "created":
            epoch = int(event.input.get("epoch", 0))
            first[event.instance] = min(first.get(event.instance, epoch), epoch)
    return sorted(events, key=lambda e: (first.get(e.instance, 1 << 62), e.instance))
