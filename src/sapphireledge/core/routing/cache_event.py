"""Change of an engine's prefix cache."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CacheEvent"]


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the prefix cache of one engine."""

    backend: str
    """Name of the backend server."""

    boot_id: str
    """Boot id of the engine incarnation."""

    sequence: int
    """Number of the event; a jump means that events were lost."""

    stored: tuple[int, ...] = ()
    """Prefix hashes (see `hash_prefixes`) that were stored."""

    evicted: tuple[int, ...] = ()
    """Prefix hashes that were evicted."""

    cleared: bool = False
    """Whether the whole cache was emptied before."""
