"""Answer of one entry to the request to void a key."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["VoidAnswer"]


@dataclass(frozen=True, slots=True)
class VoidAnswer:
    """Answer of one entry to `void_key`."""

    voided: bool
    """Whether the entry never received the key and refuses it from now on."""

    since_unix: float
    """Start of the entry's process by its wall clock, in seconds."""
