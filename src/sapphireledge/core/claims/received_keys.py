"""Idempotency keys that this instance has received or voided."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections import defaultdict
from enum import Enum
from typing import TYPE_CHECKING

from sapphireledge.core.claims.idempotency_key import claim_bucket

if TYPE_CHECKING:
    from sapphireledge.core.claims.void_answer import VoidAnswer
    from sapphireledge.settings import ClaimSettings

__all__ = ["KeyStatus", "ReceivedKeys"]


class KeyStatus(Enum):
    """Status of a key when a call with it arrives."""

    FIRST = "first"
    """This is the first call with the key."""

    AGAIN = "again"
    """An earlier call had the same key."""

    VOIDED = "voided"
    """This instance has promised never to run the key."""

    PROVEN = "proven"
    """The key is voided and proven not to have run on any instance."""


class _KeySet:
    """Set of claim keys grouped by time bucket, with 8 bytes for each key.

    Keys are compared by 64 bits of their hash. For received keys, a collision only prevents a
    proof; its probability is below 1e-12 for a million keys.
    """

    def __init__(self) -> None:
        self._buckets: defaultdict[int, array[int]] = defaultdict(lambda: array("Q"))

    def add(self, claim_key: str) -> bool:
        """Adds a key and returns whether it is new."""
        keys = self._buckets[claim_bucket(claim_key)]
        bits = _key_bits(claim_key)
        index = bisect_left(keys, bits)
        if index < len(keys) and keys[index] == bits:
            return False
        keys.insert(index, bits)
        return True

    def contains(self, claim_key: str) -> bool:
        """Whether the set contains the key."""
        keys = self._buckets.get(claim_bucket(claim_key), array("Q"))
        bits = _key_bits(claim_key)
        index = bisect_left(keys, bits)
        return index < len(keys) and keys[index] == bits

    def drop_before(self, bucket: int) -> None:
        """Drops the keys of all earlier buckets."""
        for expired in [start for start in self._buckets if start < bucket]:
            del self._buckets[expired]


class ReceivedKeys:
    """Idempotency keys that this instance has received or voided within the key window."""

    def __init__(self, start_unix: float, cfg: ClaimSettings):
        self.start_unix = start_unix
        """Wall-clock time in seconds since which this process has recorded keys."""

        self._cfg = cfg
        self._received = _KeySet()
        self._repeated = _KeySet()
        self._voided = _KeySet()
        self._proven = _KeySet()

    def receive(self, claim_key: str, now_unix: float) -> KeyStatus:
        """Records a call; must be called before the call is processed.

        Args:
            claim_key: Object key of the claim.
            now_unix: Wall-clock time in seconds.

        Returns:
            Status of the key before this call.
        """
        self._drop_expired(now_unix)
        if self._proven.contains(claim_key):
            return KeyStatus.PROVEN
        if self._voided.contains(claim_key):
            return KeyStatus.VOIDED
        if self._received.add(claim_key):
            return KeyStatus.FIRST
        self._repeated.add(claim_key)
        return KeyStatus.AGAIN

    def void(self, claim_key: str, now_unix: float) -> bool:
        """Voids a key for a peer: promises never to run it.

        Args:
            claim_key: Object key of the claim.
            now_unix: Wall-clock time in seconds.

        Returns:
            Whether the key was voided. This requires that it was never received here and is not so
            old that a call with it may have been dropped. A voided key is rejected from now on.
        """
        self._drop_expired(now_unix)
        too_old = claim_bucket(claim_key) < self._oldest_bucket(now_unix)
        if too_old or self._received.contains(claim_key):
            return False
        self._voided.add(claim_key)
        return True

    def void_abandoned(self, claim_key: str) -> bool:
        """Voids a key whose only call at this instance was abandoned.

        Args:
            claim_key: Object key of the claim.

        Returns:
            Whether the key was voided, which requires that the abandoned call was the only one.
        """
        if self._repeated.contains(claim_key):
            return False
        self._voided.add(claim_key)
        return True

    def prove_not_run(
        self,
        claim_key: str,
        key_time_unix: float,
        answers: tuple[VoidAnswer | None, ...] | None,
    ) -> bool:
        """Checks whether a key voided by `void_abandoned` is proven not to have run anywhere.

        The proof also excludes a later run, since every instance has voided the key.

        Args:
            claim_key: Object key of the claim.
            key_time_unix: Creation time of the key in seconds.
            answers: Response of each other entry, None for an entry that did not respond; None
                instead of the tuple if the entries are unknown.

        Returns:
            Whether the proof succeeded.
        """
        if answers is None or not self.covers(self.start_unix, key_time_unix):
            return False
        for answer in answers:
            if answer is None or not answer.voided:
                return False
            if not self.covers(answer.since_unix, key_time_unix):
                return False
        self._proven.add(claim_key)
        return True

    def covers(self, since_unix: float, key_time_unix: float) -> bool:
        """Whether an instance has recorded keys since before a key can have been sent.

        The key's time comes from the caller's clock, which may be ahead by the accepted skew.

        Args:
            since_unix: Time since which the instance has recorded keys, in seconds.
            key_time_unix: Creation time of the key in seconds.

        Returns:
            Whether a call with the key cannot have been missed.
        """
        return since_unix <= key_time_unix - self._cfg.future_skew

    def _oldest_bucket(self, now_unix: float) -> int:
        """Start of the oldest bucket that is kept."""
        return int(now_unix - self._cfg.window - self._cfg.future_skew - self._cfg.bucket)

    def _drop_expired(self, now_unix: float) -> None:
        """Drops keys that are old enough to be rejected by their time."""
        for keys in (self._received, self._repeated, self._voided, self._proven):
            keys.drop_before(self._oldest_bucket(now_unix))


def _key_bits(claim_key: str) -> int:
    """First 64 bits of the hash in a claim's object key."""
    return int(claim_key.rpartition("/")[2][:16], 16)
