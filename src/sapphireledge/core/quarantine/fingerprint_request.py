"""Fingerprint of the content of a request."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["fingerprint_request"]

IGNORED_FIELDS = frozenset(
    {"id", "request_id", "metadata", "sapphireledge", "stream", "stream_options", "user"}
)
"""Top-level fields that do not affect what the engine computes."""

DIGEST_BYTES = 16
"""Length of a fingerprint in bytes; 128 bits make an accidental match negligible."""

_ENCODER = msgspec.json.Encoder(order="deterministic")


def fingerprint_request(body: Mapping[str, Any]) -> str:
    """Computes the fingerprint of a request.

    Field order and the fields that identify a call rather than its content are ignored, so a
    request that is retried under a new id keeps its fingerprint.

    Args:
        body: Decoded JSON body, including the model.

    Returns:
        The fingerprint in hexadecimal.
    """
    content = {name: value for name, value in body.items() if name not in IGNORED_FIELDS}
    return hashlib.blake2b(_ENCODER.encode(content), digest_size=DIGEST_BYTES).hexdigest()
