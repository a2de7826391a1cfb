"""Keyed digest of the text generated so far."""

from __future__ import annotations

import hashlib

from sapphireledge.core.answer.event_id import EventId

__all__ = ["AnswerDigest", "read_software"]

DIGEST_BYTES = 12
"""Length of a digest in bytes; 96 bits make guessing and accidental matches infeasible."""

_LENGTH_BYTES = 8
_PERSON = b"answer-digest-1"
_PERSON_WITH_SOFTWARE = b"answer-digest-2"


def _encode_field(text: str) -> bytes:
    data = text.encode("utf-8", "surrogatepass")
    return len(data).to_bytes(_LENGTH_BYTES, "big") + data


def _derive_key(secret: str) -> bytes:
    # BLAKE2b accepts keys of at most 64 bytes; hashing a longer key preserves its entropy.
    data = secret.encode("utf-8", "surrogatepass")
    if len(data) <= hashlib.blake2b.MAX_KEY_SIZE:
        return data
    return hashlib.blake2b(data).digest()


class AnswerDigest:
    """Keyed BLAKE2b digest of request id, versions, offset and the text so far.

    The software version is readable in the digest, because an instance that has only the caller's
    text must know it even if no engine of that version is left. Without one, the digest is that of
    the model version alone.

    The hash state is updated incrementally, so the cost of a token does not depend on the length
    of the answer.
    """

    __slots__ = ("_hash", "_offset", "_suffix")

    def __init__(self, secret: str, request_id: str, version: str, software: str = "") -> None:
        self._hash = hashlib.blake2b(
            key=_derive_key(secret),
            digest_size=DIGEST_BYTES,
            person=_PERSON_WITH_SOFTWARE if software else _PERSON,
        )
        self._hash.update(_encode_field(request_id) + _encode_field(version))
        if software:
            self._hash.update(_encode_field(software))
        self._suffix = software.encode("utf-8", "surrogatepass").hex()
        self._offset = 0

    @property
    def offset(self) -> int:
        """Number of tokens hashed so far."""
        return self._offset

    def update(self, text: str, tokens: int = 1) -> None:
        """Appends text to the digest.

        Args:
            text: Text of the tokens.
            tokens: Number of tokens in the text.
        """
        self._hash.update(text.encode("utf-8", "surrogatepass"))
        self._offset += tokens

    def event_id(self) -> EventId:
        """Computes the digest of the answer so far.

        Returns:
            Event id of the position after the last token.
        """
        state = self._hash.copy()
        state.update(self._offset.to_bytes(_LENGTH_BYTES, "big"))
        return EventId(self._offset, state.hexdigest() + self._suffix)


def read_software(digest: str) -> str | None:
    """Reads the software version in a digest.

    Args:
        digest: Digest of an event id, not verified.

    Returns:
        The version; empty if the digest names none, None if it is malformed.
    """
    try:
        return bytes.fromhex(digest[2 * DIGEST_BYTES :]).decode()
    except ValueError:
        return None
