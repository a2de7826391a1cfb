"""Idempotency keys, which contain the time of their creation."""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec
from uuid6 import UUID

from sapphireledge.errors import ErrorKind, Failure, Ran

if TYPE_CHECKING:
    from sapphireledge.settings import ClaimSettings

__all__ = [
    "CLAIM_PREFIX",
    "IdempotencyKey",
    "claim_bucket",
    "is_claim_key",
    "parse_idempotency_key",
]

CLAIM_PREFIX = "claims/"
"""Prefix of the object keys of all claims."""

MS_PER_SECOND = 1000
"""UUIDs of version 7 contain a time in milliseconds."""

_CLAIM_KEY = re.compile(rf"{CLAIM_PREFIX}[0-9]{{12}}/.*", re.DOTALL)
"""Object key of a claim, with its time bucket in twelve digits."""

DIGEST_BYTES = 16
"""Length in bytes of the hash in a claim's object key."""


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """Validated idempotency key."""

    text: str
    """UUID in canonical form."""

    time_unix: float
    """Creation time by the caller's clock, in seconds."""

    def claim_key(self, workspace: str, service: str, cfg: ClaimSettings) -> str:
        """Builds the object key of the claim.

        Args:
            workspace: Name of the workspace.
            service: Name of the service.
            cfg: Settings with the length of a time bucket.

        Returns:
            The object key; keys of older time buckets sort first.
        """
        bucket = int(self.time_unix // cfg.bucket * cfg.bucket)
        content = msgspec.json.encode((workspace, service, self.text))
        digest = blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
        return f"{CLAIM_PREFIX}{bucket:012d}/{digest}"


def claim_bucket(claim_key: str) -> int:
    """Extracts the time bucket from a claim's object key.

    Args:
        claim_key: Object key of a claim.

    Returns:
        Start of the time bucket in Unix seconds.
    """
    return int(claim_key.removeprefix(CLAIM_PREFIX).partition("/")[0])


def is_claim_key(key: str) -> bool:
    """Checks whether an object key is that of a claim.

    Args:
        key: Object key.

    Returns:
        Whether it is.
    """
    return _CLAIM_KEY.fullmatch(key) is not None


def parse_idempotency_key(
    text: str, now_unix: float, cfg: ClaimSettings
) -> IdempotencyKey | Failure:
    """Parses an idempotency key and checks its time.

    Args:
        text: Value of the Idempotency-Key header.
        now_unix: Wall-clock time in seconds.
        cfg: Settings with the accepted time range.

    Returns:
        The key, or a failure. A key outside the accepted range may have been used by an earlier
        call whose claim has been deleted, so the failure does not say whether the request ran.
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
    """Builds the failure for a key outside the accepted time range."""
    reason = (
        f"Idempotency-Key: {problem}; this call ran nothing, whether an earlier call with the same "
        "key ran is unknown"
    )
    return Failure(ErrorKind.IDEMPOTENCY_KEY_EXPIRED, reason, Ran.UNKNOWN)
