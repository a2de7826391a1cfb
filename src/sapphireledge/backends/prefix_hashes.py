"""Names of prompt prefixes in cache events."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from sapphireledge.core.routing import BLOCK_BYTES, hash_prefixes

__all__ = ["BLOCK_BYTES", "prefix_block_hashes", "prompt_text"]


def prefix_block_hashes(text: str) -> tuple[str, ...]:
    """Names every whole block of a text as cache events do.

    Args:
        text: Prompt text, with the text of a resume behind it.

    Returns:
        One hash of 16 hexadecimal digits per whole block, in order.
    """
    return tuple(f"{value:016x}" for value in hash_prefixes(text))


def prompt_text(body: Mapping[str, Any]) -> str:
    """Flattens the prompt of a request body to the text that is cut into blocks.

    Args:
        body: Body of a chat or text completion.

    Returns:
        The prompt text; parts of an unexpected type count as empty.
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
    """Reduces a content value to text: a string, or the text parts of a list."""
    if isinstance(value, str):
        return value
    if isinstance(value, list | tuple):
        return "".join(_content_text(part) for part in value)
    if isinstance(value, Mapping):
        return _content_text(value.get("text"))
    return ""
