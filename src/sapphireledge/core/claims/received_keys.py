"""Memory of the keys that this instance received or voided."""

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
    """What is known about a key at the arrival of a call."""

    FIRST = "first"
    """No call with the key came before."""

    AGAIN = "again"
    """A call with the key came before."""

    VOIDED = "voided"
    """This instance has promised not to run the key."""

    PROVEN = "proven"
    """In addition, it was proven that the key did not run."""


class _KeySet:
    """Set of claim keys by bucket; 8 bytes for each key.

    Two keys with the same 64 bits count as the same one. For a received key that only withholds a
    proof; the chance is below 1e-12 for a million keys.
    """

    def __init__(self) -> None:
        self._buckets: defaultdict[int, array[int]] = defaultdict(lambda: array("Q"))

    def add(self, claim_key: str) -> bool:
        """Adds a key; whether it is new."""
        keys = self._buckets[claim_bucket(claim_key)]
        bits = _key_bits(claim_key)
        index = bisect_left(keys, bits)
        if index < len(keys) and keys[index] == bits:
            return False
        keys.insert(index, bits)
        return True

    def contains(self, claim_key: str) -> bool:
        """Whether the key was added."""
        keys = self._buckets.get(claim_bucket(claim_key), array("Q"))
        bits = _key_bits(claim_key)
        index = bisect_left(keys, bits)
        return index < len(keys) and keys[index] == bits

    def drop_before(self, bucket: int) -> None:
        """Drops the keys of old buckets."""
        for old in [known for known in self._buckets if known < bucket]:
            del self._buckets[old]


class ReceivedKeys:
    """Memory of the keys that this instance received or voided, for the key window."""

    def __init__(self, start_unix: float, cfg: ClaimSettings):
        self.start_unix = start_unix
        """Wall-clock time at which this process started to remember, in seconds."""

        self._cfg = cfg
        self._received = _KeySet()
        self._repeated = _KeySet()
        self._voided = _KeySet()
        self._proven = _KeySet()

    def receive(self, claim_key: str, now_unix: float) -> KeyStatus:
        """Notes a call; must come before anything is done for it.

        Args:
            claim_key: Object key of the claim.
            now_unix: Wall-clock time in seconds.

        Returns:
            What is known about the key.
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
        """Promises a peer not to run a key.

        Args:
            claim_key: Object key of the claim.
            now_unix: Wall-clock time in seconds.

        Returns:
            Whether the key was never received; only then it is refused from now on.
        """
        self._drop_expired(now_unix)
        too_old = claim_bucket(claim_key) < self._oldest_bucket(now_unix)
        if too_old or self._received.contains(claim_key):
            return False
        self._voided.add(claim_key)
        return True

    def void_abandoned(self, claim_key: str) -> bool:
        """Promises not to run a key whose only call here was given up.

        Args:
            claim_key: Object key of the claim.

        Returns:
            Whether that call was the only one; only then the key is refused from now on.
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
        """Decides whether a key that `void_abandoned` voided did not run and never will.

        Args:
            claim_key: Object key of the claim.
            key_time_unix: Time of the key in seconds.
            answers: One answer for each other entry, None in place of one that did not answer;
                None as a whole if the entries are not known.

        Returns:
            Whether that is proven.
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
        """Whether a memory reaches back to before a key can have been sent.

        The caller's clock makes the key's time and can be ahead by the accepted skew.

        Args:
            since_unix: Start of the memory, of this or another instance, in seconds.
            key_time_unix: Time of the key in seconds.

        Returns:
            Whether it does.
        """
        return since_unix <= key_time_unix - self._cfg.future_skew

    def _oldest_bucket(self, now_unix: float) -> int:
        """Start of the oldest bucket that is remembered."""
        return int(now_unix - self._cfg.window - self._cfg.future_skew - self._cfg.bucket)

    def _drop_expired(self, now_unix: float) -> None:
        """Drops the keys that are refused by their age."""
        for keys in (self._received, self._repeated, self._voided, self._proven):
            keys.drop_before(self._oldest_bucket(now_unix))


def _key_bits(claim_key: str) -> int:
    """First 64 bits of the hash in a claim's object key."""
    return int(claim_key.rpartition("/")[2][:16], 16)
