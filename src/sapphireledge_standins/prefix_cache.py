"""Prefix cache of the engine stand-in."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence

__all__ = ["PrefixCache"]

MAX_EVENTS = 10_000
"""Events that are kept for readers."""

PAGE_SIZE = 1_000
"""Events of one answer."""


class PrefixCache:
    """Least recently used prefix blocks, with events about its changes."""

    def __init__(self, capacity: int) -> None:
        """Creates an empty cache.

        Args:
            capacity: Blocks that fit.
        """
        self._capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, dict[str, object]]] = deque(maxlen=MAX_EVENTS)
        self._last_sequence = 0

    def match_prefix(self, hashes: Sequence[str]) -> int:
        """Counts the leading blocks that are cached and marks them as used."""
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
        """Builds the events of an answer to `/v1/cache-events`.

        Args:
            after: Highest sequence that the reader knows.
            until: Later events are held back.
            loss: Every event whose sequence is a multiple is left out; 0 for none.

        Returns:
            Fields oldest, newest and events.
        """
        visible = [event for at, event in self._events if at <= until and event["sequence"] > after]
        kept = [event for event in visible if not loss or event["sequence"] % loss]
        oldest = self._events[0][1]["sequence"] if self._events else self._last_sequence + 1
        return {"oldest": oldest, "newest": self._last_sequence, "events": kept[:PAGE_SIZE]}

    def _record(self, kind: str, blocks: list[str], now: float) -> None:
        """Appends an event."""
        if not blocks:
            return
        self._last_sequence += 1
        self._events.append(
            (now, {"sequence": self._last_sequence, "kind": kind, "blocks": blocks})
        )
