"""Hints about which engine has cached which prompt prefix."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from sapphireledge.core.routing.hash_prefixes import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.core.routing.cache_event import CacheEvent

__all__ = ["PrefixIndex"]

MAX_PREFIXES = 50_000
"""Maximum number of indexed prefixes; the least recently stored one is evicted first."""

MAX_HOLDERS = 8
"""Maximum number of backend servers per prefix; more do not improve the choice."""

GAP_HALF_LIVES = 1.0
"""Age in half-lives that a gap in the events adds to all older hints of a backend server."""


class PrefixIndex:
    """Hints about which engine has cached which prompt prefix.

    The weight of a hint halves with each half-life, because evictions are reported late or never. A
    gap in the events of an engine halves the weight of its older hints as well.
    """

    def __init__(self, half_life: float, capacity: int = MAX_PREFIXES):
        self._half_life = half_life
        self._capacity = capacity
        self._holders: OrderedDict[int, dict[str, float]] = OrderedDict()
        self._boot_ids: dict[str, str] = {}
        self._sequences: dict[str, int] = {}
        self._valid_from: dict[str, float] = {}
        self._gaps: dict[str, list[float]] = {}

    def on_cache_event(self, now: float, event: CacheEvent) -> None:
        """Applies a cache event of an engine.

        Args:
            now: Current time in seconds.
            event: The event; ignored if it is repeated or outdated.
        """
        if self._boot_ids.get(event.backend) != event.boot_id:
            self.on_boot(now, event.backend, event.boot_id)
        last = self._sequences.get(event.backend)
        if last is not None and event.sequence <= last:
            return
        if last is not None and event.sequence > last + 1:
            self._record_gap(now, event.backend)
        self._sequences[event.backend] = event.sequence
        if event.cleared:
            self._valid_from[event.backend] = now
        for prefix in event.evicted:
            holders = self._holders.get(prefix)
            if holders is not None:
                holders.pop(event.backend, None)
                if not holders:
                    del self._holders[prefix]
        self.on_stored(now, event.backend, event.stored)

    def on_stored(self, now: float, backend: str, prefixes: Sequence[int]) -> None:
        """Records prefixes that an engine stores, for example after it was sent a prompt.

        Args:
            now: Current time in seconds.
            backend: Name of the backend server.
            prefixes: Hashes of the prefixes.
        """
        for prefix in prefixes:
            holders = self._holders.get(prefix)
            if holders is None:
                holders = self._holders[prefix] = {}
            else:
                self._holders.move_to_end(prefix)
            holders.pop(backend, None)
            holders[backend] = now
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
        while len(self._holders) > self._capacity:
            self._holders.popitem(last=False)

    def on_boot(self, now: float, backend: str, boot_id: str) -> None:
        """Drops the hints of an engine that restarted.

        Args:
            now: Current time in seconds.
            backend: Name of the backend server.
            boot_id: Boot id of the new incarnation.
        """
        known = self._boot_ids.get(backend)
        self._boot_ids[backend] = boot_id
        if known is not None and known != boot_id:
            self.remove_backend(now, backend)
            self._boot_ids[backend] = boot_id

    def remove_backend(self, now: float, backend: str) -> None:
        """Invalidates all hints of a backend server.

        Args:
            now: Current time in seconds.
            backend: Name of the backend server.
        """
        self._boot_ids.pop(backend, None)
        self._sequences.pop(backend, None)
        self._gaps.pop(backend, None)
        self._valid_from[backend] = now

    def holders(self, now: float, prefixes: Sequence[int], limit: int) -> dict[str, float]:
        """Finds the backend servers that hold the longest prefixes of a prompt.

        Args:
            now: Current time in seconds.
            prefixes: Result of `hash_prefixes` for the prompt.
            limit: Maximum number of backend servers.

        Returns:
            Expected number of cached tokens by backend server, longest prefix first.
        """
        found: dict[str, float] = {}
        for index in range(len(prefixes) - 1, -1, -1):
            holders = self._holders.get(prefixes[index])
            if not holders:
                continue
            for backend in reversed(holders):
                if backend not in found:
                    weight = self._hint_weight(now, backend, holders[backend])
                    if weight > 0.0:
                        found[backend] = weight * (index + 1) * BLOCK_TOKENS
                        if len(found) >= limit:
                            return found
        return found

    def __len__(self) -> int:
        return len(self._holders)

    def _hint_weight(self, now: float, backend: str, stored: float) -> float:
        """Computes the weight of a hint, from 0 to 1."""
        if stored < self._valid_from.get(backend, stored):
            return 0.0
        gaps = sum(GAP_HALF_LIVES for gap in self._gaps.get(backend, ()) if stored < gap)
        return 0.5 ** (max(0.0, now - stored) / self._half_life + gaps)

    def _record_gap(self, now: float, backend: str) -> None:
        """Records a gap in the events.

        Keeps the last 8 gaps of the last 8 half-lives; older hints have almost no weight left.
        """
        oldest = now - 8 * self._half_life
        gaps = [gap for gap in self._gaps.get(backend, ()) if gap > oldest]
        self._gaps[backend] = [*gaps, now][-8:]
