"""Hashes that identify prompt prefixes in cache events."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from sapphireledge.core.routing import BLOCK_BYTES, hash_prefixes

__all__ = ["BLOCK_BYTES", "prefix_block_hashes", "prompt_text"]


def prefix_block_hashes(text: str) -> tuple[str, ...]:
    """Hashes the prefix that ends at each full block of a text, as cache events do.

    Args:
        text: Prompt text, followed by the already generated text of a resumed request.

    Returns:
        One hash of 16 hexadecimal digits per full block, in order.
    """
    return tuple(f"{value:016x}" for value in hash_prefixes(text))


def prompt_text(body: Mapping[str, Any]) -> str:
    """Flattens the prompt of a request body to the text that is split into blocks.

    Args:
        body: Request body of a chat or text completion.

    Returns:
        The prompt text; parts of an unexpected type are skipped.
    """
    messages = body.get("messages")
    if not isinstance(messages, list | tuple):
        return _content_text(body.get("prompt"))
    parts: list[str] = []
    for message in messages:
        if isinstance(message, Mapping):
            parts.append(
                f"{_content_text(message.get('role'))}\n{_content_text(message.get('content'))}\n"
            )
    return "".join(parts)


def _content_text(value: Any) -> str:
    """Extracts the text of a content value: a string, or the text parts of a list."""
    if isinstance(value, str):
        return value
    if isinstance(value, list | tuple):
        return "".join(_content_text(part) for part in value)
    if isinstance(value, Mapping):
        return _content_text(value.get("text"))
    return ""
