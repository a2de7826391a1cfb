"""Prefix cache events of an engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CacheEvent", "CachePage"]


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change to the prefix cache of an engine."""

    sequence: int
    """Sequence number of the event; the numbers can have gaps."""

    kind: str
    """"stored" or "evicted"; other kinds are ignored by the reader."""

    blocks: tuple[str, ...]
    """Hashes of the affected prefixes, 16 hexadecimal digits each."""


@dataclass(frozen=True, slots=True)
class CachePage:
    """Response to one poll for cache events."""

    boot_id: str
    """Id of the engine process."""

    oldest: int
    """Lowest sequence number that the engine still stores."""

    newest: int
    """Highest sequence number that the engine has assigned."""

    block_bytes: int
    """Size of a block of prompt text in bytes."""

    events: tuple[CacheEvent, ...]
    """Events ordered by sequence number."""

    lost: bool = False
    """Whether events before this page are missing or the engine restarted; set by the poller."""
