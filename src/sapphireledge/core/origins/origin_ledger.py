"""Versions that began streams, by the digests of callers' attempts."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Origin", "OriginLedger"]


@dataclass(frozen=True, slots=True)
class Origin:
    """What began a stream."""

    service: str
    """Name of the service."""

    version: str
    """Version of the server's software."""


class OriginLedger:
    """Holds a bounded number of origins until they expire; the oldest are dropped first.

    An attempt that is recorded with two origins has none that is known.
    """

    def __init__(self, capacity: int) -> None:
        """Creates an empty ledger.

        Args:
            capacity: Largest number of origins.
        """
        self._capacity = capacity
        self._origins: OrderedDict[int, tuple[Origin | None, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, now: float, digest: int, origin: Origin, expires_at: float) -> bool:
        """Records what began a stream.

        Args:
            now: Monotonic time in seconds.
            digest: Digest of the caller's attempt.
            origin: What began the stream.
            expires_at: Monotonic time in seconds from which the origin is not needed.

        Returns:
            Whether this is new; an origin that is known keeps the later of both times.
        """
        known = self._origins.get(digest)
        if known is not None and known[1] > now:
            agreed = origin if known[0] == origin else None
            self._origins[digest] = (agreed, max(known[1], expires_at))
            return agreed != known[0]
        self._origins.pop(digest, None)
        self._drop_expired(now)
        if len(self._origins) >= self._capacity:
            self._origins.popitem(last=False)
        self._origins[digest] = (origin, expires_at)
        return True

    def contains(self, now: float, digest: int) -> bool:
        """Checks whether an attempt is recorded.

        Args:
            now: Monotonic time in seconds.
            digest: Digest of the caller's attempt.

        Returns:
            Whether it is, also if its origin is not known.
        """
        known = self._origins.get(digest)
        return known is not None and known[1] > now

    def find(self, now: float, digest: int) -> Origin | None:
        """Looks up what began a stream.

        Args:
            now: Monotonic time in seconds.
            digest: Digest of the caller's attempt.

        Returns:
            The origin, None if it is not known.
        """
        known = self._origins.get(digest)
        return known[0] if known is not None and known[1] > now else None

    def items(self, now: float) -> Iterator[tuple[int, Origin]]:
        """Iterates over the origins that have not expired, oldest first.

        Args:
            now: Monotonic time in seconds.

        Yields:
            Digest and origin.
        """
        for digest, (origin, expires_at) in self._origins.items():
            if origin is not None and expires_at > now:
                yield digest, origin

    def _drop_expired(self, now: float) -> None:
        """Drops the oldest origins as far as they have expired."""
        while self._origins:
            digest = next(iter(self._origins))
            if self._origins[digest][1] > now:
                return
            del self._origins[digest]
