"""Digest of the id of a caller's attempt."""

from __future__ import annotations

import xxhash

__all__ = ["digest_attempt"]


def digest_attempt(service: str, attempt_id: str) -> int:
    """Computes the digest under which the origin of a stream is kept.

    Ids come from callers and may have any length.

    Args:
        service: Name of the service.
        attempt_id: Id of the caller's attempt.

    Returns:
        A number of 64 bits.
    """
    return xxhash.xxh3_64_intdigest(f"{len(service)}/{service}/{attempt_id}".encode())
