"""Idempotency keys, which carry the time of their creation."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec
from uuid6 import UUID

from sapphireledge.errors import ErrorKind, Failure, Ran

if TYPE_CHECKING:
    from sapphireledge.settings import ClaimSettings

__all__ = ["CLAIM_PREFIX", "IdempotencyKey", "claim_bucket", "parse_idempotency_key"]

CLAIM_PREFIX = "claims/"
"""Start of the keys of all claims."""

MS_PER_SECOND = 1000
"""Unit of the time in a UUID of version 7, per second."""

DIGEST_BYTES = 16
"""Length of the hash in a claim's object key, in bytes."""


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A checked idempotency key."""

    text: str
    """The UUID in its canonical form."""

    time_unix: float
    """Time of its creation by the caller's clock, in seconds."""

    def claim_key(self, workspace: str, service: str, cfg: ClaimSettings) -> str:
        """Builds the object key of the claim.

        Args:
            workspace: Name of the workspace.
            service: Name of the service.
            cfg: Settings, for the length of the bucket.

        Returns:
            The object key; keys of older buckets sort first.
        """
        bucket = int(self.time_unix // cfg.bucket * cfg.bucket)
        content = msgspec.json.encode((workspace, service, self.text))
        digest = blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
        return f"{CLAIM_PREFIX}{bucket:012d}/{digest}"


def claim_bucket(claim_key: str) -> int:
    """Reads the time bucket of a claim's object key.

    Args:
        claim_key: Object key of a claim.

    Returns:
        Start of the bucket in Unix seconds.
    """
    return int(claim_key.removeprefix(CLAIM_PREFIX).partition("/")[0])


def parse_idempotency_key(
    text: str, now_unix: float, cfg: ClaimSettings
) -> IdempotencyKey | Failure:
    """Checks an idempotency key and its time.

    Args:
        text: Value of the header Idempotency-Key.
        now_unix: Wall-clock time in seconds.
        cfg: Settings, for the accepted times.

    Returns:
        The key or a failure. A key outside the accepted times can have been used by an earlier call
        whose claim is no longer kept, so that failure leaves the run unknown.
    """
    try:
        parsed = UUID(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        return Failure(ErrorKind.INVALID_REQUEST, "Idempotency-Key: must be a UUID of version 7")
    time_unix = parsed.time / MS_PER_SECOND
    if time_unix < now_unix - cfg.window:
        return _key_expired(f"is older than {cfg.window:g} s")
    if time_unix > now_unix + cfg.future_skew:
        return _key_expired(f"is more than {cfg.future_skew:g} s ahead")
    return IdempotencyKey(str(parsed), time_unix)


def _key_expired(problem: str) -> Failure:
    """Refuses a key outside the accepted times."""
    reason = (
        f"Idempotency-Key: {problem}; this call ran nothing, whether an earlier call with the same "
        "key ran is not known"
    )
    return Failure(ErrorKind.IDEMPOTENCY_KEY_EXPIRED, reason, Ran.UNKNOWN)
