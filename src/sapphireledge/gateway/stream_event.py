"""Server-sent event."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StreamEvent"]


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """A complete server-sent event."""

    raw: bytes
    """Bytes as received, including the blank line at the end."""

    number: int | None
    """Number from the `id` field, None if there is none."""

    is_comment: bool = False
    """Whether the event holds nothing but comments, which carry no content."""
