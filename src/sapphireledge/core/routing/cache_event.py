"""Event of an engine's prefix cache."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CacheEvent"]


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change to the prefix cache of one engine."""

    backend: str
    """Name of the backend server."""

    boot_id: str
    """Boot id of the engine incarnation."""

    sequence: int
    """Sequence number of the event; a gap means that events were lost."""

    stored: tuple[int, ...] = ()
    """Hashes of the prefixes that were stored (see `hash_prefixes`)."""

    evicted: tuple[int, ...] = ()
    """Hashes of the prefixes that were evicted."""

    cleared: bool = False
    """Whether the entire cache was cleared before this event."""
