"""Decodes JSON texts of which a part cannot be decoded.

Other programs may write half of a surrogate pair as an escape, or bytes that are not UTF-8. msgspec
rejects the whole text then, also if the part is held as `msgspec.Raw`.
"""

from __future__ import annotations

import json
import re
from typing import Any, TypeVar

import msgspec

__all__ = [
    "MAX_DEPTH",
    "cut_nesting",
    "decode_leniently",
    "decode_rows",
    "is_nested_deeply",
    "is_readable",
    "parse_leniently",
]

Decoded = TypeVar("Decoded")

MAX_DEPTH = 64
"""Deepest nesting that is decoded; objects of the platform nest less than ten deep."""

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
"""Strings and brackets of a JSON text."""


def parse_leniently(text: bytes) -> Any:
    """Parses a JSON text, whatever its strings hold.

    Args:
        text: JSON text.

    Returns:
        The value; parts of its strings that are not Unicode text are lone surrogates.

    Raises:
        msgspec.DecodeError: The text is not JSON.
        RecursionError: It is nested too deeply.
    """
    try:
        return json.loads(text.decode("utf-8", errors="surrogateescape"), strict=False)
    except ValueError as exc:
        raise msgspec.DecodeError(str(exc)) from exc


def decode_leniently(text: bytes, kind: type[Decoded]) -> Decoded:
    """Decodes a JSON text that need not be read completely.

    Args:
        text: JSON text.
        kind: Type to decode it as.

    Returns:
        The value; strings that are not Unicode text hold lone surrogates.

    Raises:
        msgspec.MsgspecError: The text is not JSON, or of another type.
        RecursionError: It is nested too deeply.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError:
        return msgspec.convert(parse_leniently(text), kind)


def decode_rows(text: bytes, kind: type[Decoded], key: str) -> Decoded:
    """Decodes a JSON text whose rows are independent of each other.

    Args:
        text: JSON text.
        kind: Type to decode it as.
        key: Field that holds the rows.

    Returns:
        The value, without the rows that cannot be read.

    Raises:
        msgspec.MsgspecError: The text is not JSON, or of another type.
        RecursionError: It is nested too deeply.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.ValidationError:
        raise
    except (msgspec.DecodeError, RecursionError):
        value = parse_leniently(cut_nesting(text))
        if not isinstance(value, dict) or not isinstance(value.get(key), list):
            raise
        value[key] = [row for row in value[key] if is_readable(row)]
        names = {field.encode_name for field in msgspec.structs.fields(kind)}
        known = {name: field for name, field in value.items() if name in names}
        if not is_readable(known):
            raise
        return msgspec.json.decode(msgspec.json.encode(known), type=kind)


def is_readable(value: Any) -> bool:
    """Whether a parsed value consists of Unicode text, and of numbers that can be passed on.

    Args:
        value: Value from `parse_leniently`.

    Returns:
        Whether the value can be encoded again.
    """
    try:
        msgspec.json.encode(value)
    except (UnicodeError, OverflowError, RecursionError, msgspec.MsgspecError):
        return False
    return True


def is_nested_deeply(value: Any) -> bool:
    """Whether a parsed value is nested deeper than `MAX_DEPTH`.

    Args:
        value: Value of a JSON text.

    Returns:
        Whether it is.
    """
    level = [value] if isinstance(value, dict | list) else []
    for _ in range(MAX_DEPTH):
        level = [
            child
            for node in level
            for child in (node.values() if isinstance(node, dict) else node)
            if isinstance(child, dict | list)
        ]
        if not level:
            return False
    return True


def cut_nesting(text: bytes) -> bytes:
    """Replaces each value that is nested deeper than `MAX_DEPTH` by null.

    Args:
        text: JSON text.

    Returns:
        The shorter text, empty if its brackets do not match.
    """
    parts = []
    depth = copied = 0
    for token in _TOKENS.finditer(text):
        bracket = token.group()
        if bracket in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += [text[copied : token.start()], b"null"]
        elif bracket in (b"]", b"}"):
            if depth == MAX_DEPTH + 1:
                copied = token.end()
            depth -= 1
    if depth > MAX_DEPTH:
        return b""
    return b"".join([*parts, text[copied:]])
