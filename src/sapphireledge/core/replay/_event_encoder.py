"""Encoding of inputs and decisions in recorded events."""

from __future__ import annotations

import hashlib
import re
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from sapphireledge.core.answer import Decision

__all__ = ["EventEncoder", "strip_text", "to_snake_case"]

HASH_BYTES = 8
"""Length in bytes of the keyed hash that replaces a text."""

_TEXT_KEYS = frozenset({"text", "hash"})


def to_snake_case(name: str) -> str:
    """Converts a class name to the form used in recorded events."""
    return re.sub(r"(?<!^)([A-Z])", r"_\1", name).lower()


class EventEncoder:
    """Encodes texts and decisions; texts are reduced to length and hash unless they are kept.

    The hash is keyed because short texts could be guessed from an unkeyed one.
    """

    __slots__ = ("_keep_text", "_key")

    def __init__(self, keep_text: bool, key: str) -> None:
        self._keep_text = keep_text
        self._key = hashlib.blake2b(key.encode("utf-8", "surrogatepass")).digest()

    def encode_text(self, text: str) -> dict[str, Any]:
        """Encodes a text as its length with the text itself or its hash."""
        if self._keep_text:
            return {"characters": len(text), "text": text}
        data = text.encode("utf-8", "surrogatepass")
        digest = hashlib.blake2b(data, key=self._key, digest_size=HASH_BYTES)
        return {"characters": len(text), "hash": digest.hexdigest()}

    def encode_decision(self, decision: Decision) -> dict[str, Any]:
        """Encodes a decision as its kind and fields."""
        fields = msgspec.to_builtins(decision)
        fields = {k: list(v) if isinstance(v, tuple) else v for k, v in fields.items()}
        # Recordings of earlier releases have no software version.
        if not fields.get("software"):
            fields.pop("software", None)
        if "text" in fields:
            fields |= self.encode_text(fields.pop("text"))
        return {"kind": to_snake_case(type(decision).__name__), **fields}


def strip_text(decisions: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Removes texts and hashes, which replay cannot reproduce if text was not recorded."""
    return [{k: v for k, v in d.items() if k not in _TEXT_KEYS} for d in decisions]
