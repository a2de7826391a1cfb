"""Cache events of an engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CacheEvent", "CachePage"]


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the prefix cache of an engine."""

    sequence: int
    """Number of the event; numbers can have gaps."""

    kind: str
    """"stored" or "evicted"; other kinds are ignored by the reader."""

    blocks: tuple[str, ...]
    """Hashes of prefixes, 16 hexadecimal digits each."""


@dataclass(frozen=True, slots=True)
class CachePage:
    """Answer of one poll for cache events."""

    boot_id: str
    """Id of the engine process."""

    oldest: int
    """Lowest sequence that the engine still keeps."""

    newest: int
    """Highest sequence that the engine made."""

    block_bytes: int
    """Size of a block of prompt text."""

    events: tuple[CacheEvent, ...]
    """Events in the order of their sequence."""

    lost: bool = False
    """Whether events before these were lost or the engine restarted; set by the poller."""
