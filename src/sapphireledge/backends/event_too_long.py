"""Exception for server-sent events that exceed a size limit."""

from __future__ import annotations

__all__ = ["EventTooLong"]


class EventTooLong(ValueError):
    """A server-sent event is longer than MAX_EVENT_BYTES."""
