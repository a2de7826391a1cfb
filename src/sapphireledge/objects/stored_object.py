"""One version of an object of the platform's object API."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StoredObject"]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One version of an object."""

    key: str
    """Key, with parts separated by "/"."""

    value: bytes
    """Value, at most 1 MB; empty for a deleted object."""

    version: int
    """Version of this write; one counter numbers the writes of the entire store."""

    deleted: bool = False
    """Whether this version is a deletion; only a watch returns deletions."""
