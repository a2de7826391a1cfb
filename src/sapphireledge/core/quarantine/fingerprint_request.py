"""Identity of a request's content."""

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
"""Top-level fields that do not change what the engine computes."""

DIGEST_SIZE = 16
"""Length of a fingerprint in bytes; 128 bits make an accidental match negligible."""

_ENCODER = msgspec.json.Encoder(order="deterministic")


def fingerprint_request(body: Mapping[str, Any]) -> str:
    """Computes the fingerprint of a request.

    The order of the fields and the fields that identify a call rather than its content do not
    matter, so the same request sent again under a new id has the same fingerprint.

    Args:
        body: Decoded JSON body, with the model.

    Returns:
        The fingerprint in hexadecimal.
    """
    content = {name: value for name, value in body.items() if name not in IGNORED_FIELDS}
    return hashlib.blake2b(_ENCODER.encode(content), digest_size=DIGEST_SIZE).hexdigest()
