"""Deletion of expired claims from the platform."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import xxhash

from sapphireledge.core.claims import CLAIM_PREFIX, claim_bucket, is_claim_key
from sapphireledge.errors import Failure
from sapphireledge.objects import WriteStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.objects import ObjectStore
    from sapphireledge.settings import ClaimSettings

__all__ = ["ClaimCollector"]

PAGE_SIZE = 100
"""Number of claims per page of a listing; each claim may contain a stored response body."""

HASH_UPPER_BOUND = "~"
"""Text that sorts after the hash in any claim key."""


class ClaimCollector:
    """Deletes expired claims; the time buckets are divided among the live entries.

    An inconsistent division only wastes calls, because the deletions are conditional.
    """

    def __init__(
        self,
        store: ObjectStore,
        cfg: ClaimSettings,
        position: Callable[[], tuple[int, int]],
        clock_unix: Callable[[], float] = time.time,
    ):
        self.deleted = 0
        """Number of claims deleted so far."""

        self._store = store
        self._cfg = cfg
        self._position = position
        self._clock_unix = clock_unix

    async def run(self) -> None:
        """Collects once per bucket length until the task is cancelled."""
        while True:
            await self.collect()
            await asyncio.sleep(self._cfg.bucket)

    async def collect(self) -> None:
        """Deletes the claims in all expired buckets that are assigned to this entry."""
        after = ""
        while True:
            page = await self._store.list(CLAIM_PREFIX, after, 1)
            if isinstance(page, Failure) or not page.objects:
                return
            key = page.objects[0].key
            if not is_claim_key(key):
                # Another writer's object must not keep expired claims in the store.
                after = key
                continue
            bucket = claim_bucket(key)
            if not self._is_expired(bucket):
                return
            if self._is_assigned(bucket) and not await self._collect_bucket(bucket):
                return
            after = f"{CLAIM_PREFIX}{bucket:012d}/{HASH_UPPER_BOUND}"

    def _is_expired(self, bucket: int) -> bool:
        """Whether no entry accepts keys of the bucket any more.

        The clocks of two entries can differ by the accepted skew, and a call accepted at the end
        of the window may still be running.
        """
        margin = 2 * self._cfg.future_skew + self._cfg.lease + self._cfg.service_timeout
        return bucket + self._cfg.bucket + self._cfg.window + margin < self._clock_unix()

    def _is_assigned(self, bucket: int) -> bool:
        """Whether the bucket is assigned to this entry."""
        index, count = self._position()
        return xxhash.xxh64_intdigest(str(bucket).encode()) % max(1, count) == index

    async def _collect_bucket(self, bucket: int) -> bool:
        """Deletes the claims of one bucket; returns False if a platform call fails."""
        prefix = f"{CLAIM_PREFIX}{bucket:012d}/"
        after = ""
        while True:
            page = await self._store.list(prefix, after, PAGE_SIZE)
            if isinstance(page, Failure):
                return False
            for found in page.objects:
                if not await self._delete(found.key, found.version):
                    return False
            after = page.next_after
            if not after:
                return True

    async def _delete(self, key: str, version: int) -> bool:
        """Deletes one claim and waits to keep the fleet within `collect_rate`."""
        result = await self._store.delete(key, version)
        if result.status is WriteStatus.WRITTEN:
            self.deleted += 1
        _, count = self._position()
        await asyncio.sleep(max(1, count) / self._cfg.collect_rate)
        return result.status in (WriteStatus.WRITTEN, WriteStatus.CONFLICT)
