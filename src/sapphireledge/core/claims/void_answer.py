"""Response of an entry to a request to void a key."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["VoidAnswer"]


@dataclass(frozen=True, slots=True)
class VoidAnswer:
    """Response of an entry to `void_key`."""

    voided: bool
    """Whether the entry has never received the key and rejects it from now on."""

    since_unix: float
    """Wall-clock time in seconds at which the entry's process started to record keys."""
