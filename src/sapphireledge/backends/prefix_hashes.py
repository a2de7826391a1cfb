"""Names of prompt prefixes in cache events."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import xxhash

__all__ = ["BLOCK_BYTES", "prefix_block_hashes", "prompt_text"]

BLOCK_BYTES = 256
"""Bytes of prompt text in one block; docs/engine-protocol.md fixes it."""


def prefix_block_hashes(text: str, block_bytes: int = BLOCK_BYTES) -> tuple[str, ...]:
    """Hashes every whole block of a text, each hash naming the prefix up to that block.

    Args:
        text: Prompt text, with the text of a resume behind it.
        block_bytes: Bytes in a block.

    Returns:
        One hash of 16 hexadecimal digits per whole block, in order.
    """
    data = text.encode("utf-8", "replace")
    seed = 0
    hashes: list[str] = []
    for start in range(0, len(data) - block_bytes + 1, block_bytes):
        seed = xxhash.xxh64_intdigest(data[start : start + block_bytes], seed)
        hashes.append(f"{seed:016x}")
    return tuple(hashes)


def prompt_text(body: Mapping[str, Any]) -> str:
    """Flattens the prompt of a request body to the text that is cut into blocks.

    Args:
        body: Body of a chat or text completion.

    Returns:
        The prompt text; parts of an unexpected type count as empty.
    """
    messages = body.get("messages")
    if not isinstance(messages, list | tuple):
        return _plain(body.get("prompt"))
    parts: list[str] = []
    for message in messages:
        if isinstance(message, Mapping):
            parts.append(f"{_plain(message.get('role'))}\n{_plain(message.get('content'))}\n")
    return "".join(parts)


def _plain(value: Any) -> str:
    """Reduces a content value to text: a string, or the text parts of a list."""
    if isinstance(value, str):
        return value
    if isinstance(value, list | tuple):
        return "".join(_plain(part) for part in value)
    if isinstance(value, Mapping):
        return _plain(value.get("text"))
    return ""
