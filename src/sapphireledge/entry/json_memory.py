"""Memory that a JSON body takes once it is decoded."""

from __future__ import annotations

__all__ = ["estimate_json_memory"]

MARK_BYTES = 64
"""Memory in bytes for each comma, colon and opening bracket: the objects of the decoded values."""

MARKS = (b",", b":", b"{", b"[")


def estimate_json_memory(data: bytes) -> int:
    """Estimates the memory of a decoded body.

    Args:
        data: JSON text; marks within its strings are counted too.

    Returns:
        Memory in bytes.
    """
    return len(data) + MARK_BYTES * sum(data.count(mark) for mark in MARKS)
