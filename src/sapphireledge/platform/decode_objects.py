"""Decodes stored objects one by one, so that an odd one does not affect the others.

Other writers may store anything: values that are nested more deeply than a decoder can follow, or
numbers that no type holds. Such an object is kept with the content None, which names nothing.
"""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec
import structlog

from sapphireledge.feed import SourceError
from sapphireledge.gateway import GatewayEvent
from sapphireledge.lenient_json import (
    MAX_DEPTH,
    cut_nesting,
    is_nested_deeply,
    is_readable,
    parse_leniently,
)

__all__ = ["decode_answer", "decode_spec", "find_last_name"]

Decoded = TypeVar("Decoded")

_LONG_NUMBER = re.compile(rb"[0-9]{19}")
"""Digits of a number that may exceed 64 bits, which the messages between instances cannot hold."""


def decode_answer(body: bytes, kind: type[Decoded]) -> Decoded:
    """Decodes an answer of the store, in which the objects' contents are raw JSON.

    Args:
        body: JSON text.
        kind: Type to decode it as.

    Returns:
        The decoded answer; values that the decoder cannot follow are replaced by null, and rows
        without a name are left out.

    Raises:
        SourceError: The answer is not JSON, or of another type.
    """
    try:
        try:
            return msgspec.json.decode(body, type=kind)
        except (RecursionError, msgspec.DecodeError):
            return msgspec.json.decode(_clear_unreadable(cut_nesting(body)), type=kind)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise SourceError(f"cannot decode the response of the store: {exc}") from exc


def decode_spec(name: str, spec: msgspec.Raw) -> Any:
    """Decodes the content of an object.

    Args:
        name: Name of the object, for the log.
        spec: JSON text, empty if the object has no content.

    Returns:
        The decoded value, None if it cannot be decoded or passed on.
    """
    text = bytes(spec)
    if not text:
        return None
    try:
        value = msgspec.json.decode(text)
        if text.count(b"[") + text.count(b"{") > MAX_DEPTH and is_nested_deeply(value):
            # Another instance decodes it inside a message, with less of its stack left.
            value = msgspec.json.decode(cut_nesting(text))
        if _LONG_NUMBER.search(text):
            msgspec.msgpack.encode(value)
        return value
    except (msgspec.MsgspecError, RecursionError, OverflowError) as exc:
        structlog.get_logger().warning(
            GatewayEvent.OBJECT_UNREADABLE, name=name, size=len(text), reason=str(exc)
        )
        return None


def find_last_name(body: bytes) -> str | None:
    """Finds the name by which a listing is continued after a page without readable names.

    Args:
        body: JSON text of the page.

    Returns:
        The last name, which may hold lone surrogates, or None if there is none.
    """
    try:
        rows = parse_leniently(cut_nesting(body))["items"]
        names = [row["metadata"]["name"] for row in rows if _has_name(row)]
    except (msgspec.DecodeError, RecursionError, LookupError, TypeError):
        return None
    return names[-1] if names else None


def _has_name(row: Any) -> bool:
    """Whether a row has a name, readable or not."""
    metadata = row.get("metadata") if isinstance(row, dict) else None
    return isinstance(metadata, dict) and isinstance(metadata.get("name"), str)


def _clear_unreadable(body: bytes) -> bytes:
    """Removes the contents that cannot be read, and the objects without a readable name."""
    answer = parse_leniently(body)
    if not isinstance(answer, dict):
        return body
    for key, holder in (("items", None), ("events", "object")):
        rows = answer.get(key)
        if isinstance(rows, list):
            answer[key] = [row for row in rows if _clear_object(row, holder)]
    if "metadata" in answer:
        _clear_object(answer, None)
    else:
        _clear_fields(answer)
    return msgspec.json.encode(answer)


def _clear_object(row: Any, holder: str | None) -> bool:
    """Clears the unreadable fields of an object; returns whether it has a readable name.

    The object is the row itself, or the field of it that `holder` names.
    """
    stored = row.get(holder) if holder is not None and isinstance(row, dict) else row
    metadata = stored.get("metadata") if isinstance(stored, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    unreadable = []
    if isinstance(stored, dict) and isinstance(metadata, dict):
        unreadable = _clear_fields(metadata) + _clear_fields(stored)
        if stored is not row:
            unreadable += _clear_fields(row)
    has_name = isinstance(name, str) and is_readable(name)
    if unreadable or not has_name:
        structlog.get_logger().warning(
            GatewayEvent.OBJECT_UNREADABLE,
            name=ascii(name),
            reason=f"{unreadable} cannot be passed on" if has_name else "it has no readable name",
        )
    return has_name


def _clear_fields(fields: dict[str, Any]) -> list[str]:
    """Removes the fields that cannot be read; returns their names."""
    unreadable = [key for key, field in fields.items() if not is_readable({key: field})]
    for key in unreadable:
        del fields[key]
    return unreadable
