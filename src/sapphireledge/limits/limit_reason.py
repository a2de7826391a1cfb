"""Reasons for which limits on callers turn something away."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["LimitReason"]


class LimitReason(StrEnum):
    """Why a connection was closed or a request refused."""

    NO_MEMORY = "no_memory"
    """A request was refused because no memory was left for it."""

    STALLED = "stalled"
    """A connection without progress was closed because memory was short."""

    TOO_MANY_CONNECTIONS = "too_many_connections"
    """The connection that had waited longest was closed to accept another one."""

    ALL_SERVED = "all_served"
    """A new connection was closed because all others had requests in progress."""

    NO_DESCRIPTORS = "no_descriptors"
    """Accepting paused because the process had no descriptor left."""
