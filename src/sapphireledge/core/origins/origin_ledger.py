"""Versions that began streams, by the digests of callers' attempts."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["OriginLedger"]


class OriginLedger:
    """Holds a bounded number of origins until they expire; the oldest are dropped first.

    An attempt that is recorded with two versions has no known origin.
    """

    def __init__(self, capacity: int) -> None:
        """Creates an empty ledger.

        Args:
            capacity: Largest number of origins.
        """
        self._capacity = capacity
        self._origins: OrderedDict[int, tuple[str | None, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, now: float, digest: int, version: str, expires_at: float) -> bool:
        """Records the version that began a stream.

        Args:
            now: Monotonic time in seconds.
            digest: Digest of the caller's attempt.
            version: Version that began the stream.
            expires_at: Monotonic time in seconds from which the origin is not needed.

        Returns:
            Whether this is new; an origin that is known keeps the later of both times.
        """
        known = self._origins.get(digest)
        if known is not None and known[1] > now:
            origin = version if known[0] == version else None
            self._origins[digest] = (origin, max(known[1], expires_at))
            return origin != known[0]
        self._origins.pop(digest, None)
        self._drop_expired(now)
        if len(self._origins) >= self._capacity:
            self._origins.popitem(last=False)
        self._origins[digest] = (version, expires_at)
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

    def find(self, now: float, digest: int) -> str | None:
        """Looks up the version that began a stream.

        Args:
            now: Monotonic time in seconds.
            digest: Digest of the caller's attempt.

        Returns:
            The version, None if it is not known.
        """
        known = self._origins.get(digest)
        return known[0] if known is not None and known[1] > now else None

    def items(self, now: float) -> Iterator[tuple[int, str, float]]:
        """Iterates over the origins that have not expired, oldest first.

        Args:
            now: Monotonic time in seconds.

        Yields:
            Digest, version and time of expiry.
        """
        for digest, (version, expires_at) in self._origins.items():
            if version is not None and expires_at > now:
                yield digest, version, expires_at

    def _drop_expired(self, now: float) -> None:
        """Drops the oldest origins as far as they have expired."""
        while self._origins:
            digest = next(iter(self._origins))
            if self._origins[digest][1] > now:
                return
            del self._origins[digest]
