"""One object of the platform's object API."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StoredObject"]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object at one version."""

    key: str
    """Key, with "/" between its parts."""

    value: bytes
    """Value, at most 1 MB; empty for a deleted object."""

    version: int
    """Version of this write, from the one counter of the whole store."""

    deleted: bool = False
    """Whether this version is a deletion, as seen by a watch."""
