"""Size of a request head, and the memory that it takes."""

from __future__ import annotations

import re

__all__ = ["FIELD_BYTES", "HEAD_END_OVERLAP", "estimate_head_memory", "find_head_end"]

FIELD_BYTES = 384
"""Memory in bytes for each field of a head, beside the bytes of the head: its objects in the parsed
request and in the request to a backend server."""

HEAD_COPIES = 3
"""Copies of the bytes of a head that a request holds."""

HEAD_END_OVERLAP = 2
"""Bytes before the end of a search that are searched again: the end of a head may begin there."""

_HEAD_END = re.compile(rb"\n\r?\n")
"""End of a head, as the parser recognises it."""


def find_head_end(received: bytearray, searched: int) -> int:
    """Finds the end of a head.

    Args:
        received: Bytes from the beginning of the request.
        searched: Bytes that an earlier search has passed.

    Returns:
        Size of the head in bytes, 0 if it is incomplete.
    """
    end = _HEAD_END.search(received, searched)
    return 0 if end is None else end.end()


def estimate_head_memory(size: int, fields: int) -> int:
    """Estimates the memory that a head takes while its request is served.

    Args:
        size: Size of the head in bytes.
        fields: Number of its lines.

    Returns:
        Memory in bytes.
    """
    return HEAD_COPIES * size + FIELD_BYTES * fields
