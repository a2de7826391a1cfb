"""Software versions as engines name them."""

from __future__ import annotations

import hashlib

__all__ = ["SOFTWARE_VERSION", "normalize_software"]

SOFTWARE_VERSION = "x-software-version"
"""Header with the version of the software that generates a response."""

MAX_LENGTH = 48
"""Longest version that is kept as it is, since each event id of an answer includes it."""


def normalize_software(text: str) -> str:
    """Limits the length and the alphabet of a software version.

    Args:
        text: Version named by an engine, empty if it names none.

    Returns:
        The version if it is short printable ASCII, otherwise a hash of it.
    """
    text = text.strip()
    if len(text) <= MAX_LENGTH and text.isascii() and text.isprintable():
        return text
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=MAX_LENGTH // 2).hexdigest()
