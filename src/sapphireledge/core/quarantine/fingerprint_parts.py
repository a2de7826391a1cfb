"""Fingerprints of the parts of a prompt that requests can share."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["fingerprint_parts"]

DIGEST_BYTES = 12
"""Length of a fingerprint in bytes."""

_ENCODER = msgspec.json.Encoder(order="deterministic")


def fingerprint_parts(body: Mapping[str, Any]) -> tuple[str, ...]:
    """Computes the fingerprints of the parts of a prompt that other requests can share.

    These are the tools and all messages but the last one, which belongs to the request itself.

    Args:
        body: Decoded JSON body.

    Returns:
        The fingerprints in hexadecimal, in the order of the prompt; empty for a text completion.
    """
    messages = body.get("messages")
    if not isinstance(messages, list | tuple):
        return ()
    parts = [body["tools"]] if body.get("tools") else []
    parts += messages[:-1]
    return tuple(
        hashlib.blake2b(_ENCODER.encode(part), digest_size=DIGEST_BYTES).hexdigest()
        for part in parts
    )
