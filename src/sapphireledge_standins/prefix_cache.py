"""Prefix cache of the engine stand-in."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence

__all__ = ["PrefixCache"]

MAX_EVENTS = 10_000
"""Maximum number of events kept; older ones are dropped."""

PAGE_SIZE = 1_000
"""Maximum number of events per response."""


class PrefixCache:
    """LRU cache of prefix blocks that records stored and evicted blocks as events."""

    def __init__(self, capacity: int) -> None:
        """Creates an empty cache.

        Args:
            capacity: Maximum number of blocks.
        """
        self._capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, dict[str, object]]] = deque(maxlen=MAX_EVENTS)
        self._last_sequence = 0

    def match_prefix(self, hashes: Sequence[str]) -> int:
        """Counts the leading blocks that are cached and marks them as recently used."""
        for count, block in enumerate(hashes):
            if block not in self._blocks:
                return count
            self._blocks.move_to_end(block)
        return len(hashes)

    def store(self, hashes: Sequence[str], now: float) -> None:
        """Stores blocks and evicts the least recently used ones beyond the capacity."""
        added = [block for block in hashes if block not in self._blocks]
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._capacity:
            evicted.append(self._blocks.popitem(last=False)[0])
        self._record("stored", added, now)
        self._record("evicted", evicted, now)

    def page(self, after: int, until: float, loss: int) -> dict[str, object]:
        """Builds the event fields of a response to `/v1/cache-events`.

        Args:
            after: Sequence number after which events are returned.
            until: Monotonic time in seconds after which events are withheld.
            loss: Drops events whose sequence number is a multiple of it; 0 drops none.

        Returns:
            Fields oldest and newest, the sequence numbers kept, and events.
        """
        visible = [event for at, event in self._events if at <= until and event["sequence"] > after]
        kept = [event for event in visible if not loss or event["sequence"] % loss]
        oldest = self._events[0][1]["sequence"] if self._events else self._last_sequence + 1
        return {"oldest": oldest, "newest": self._last_sequence, "events": kept[:PAGE_SIZE]}

    def _record(self, kind: str, blocks: list[str], now: float) -> None:
        """Appends an event unless no blocks changed."""
        if not blocks:
            return
        self._last_sequence += 1
        self._events.append(
            (now, {"sequence": self._last_sequence, "kind": kind, "blocks": blocks})
        )
