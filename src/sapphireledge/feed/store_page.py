"""Objects read from the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.feed.object_record import ObjectRecord

__all__ = ["StorePage", "StoredEntry"]


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """One object, or its removal."""

    name: str
    """Name of the object."""

    spec: object
    """Decoded JSON value, not used for a removal."""

    removed: bool = False
    """Whether the object was removed."""

    record: ObjectRecord | None = None
    """Status and versions, None for a removal and for kinds that are read without them."""


@dataclass(frozen=True, slots=True)
class StorePage:
    """Objects and the revision of the store that they reflect."""

    entries: tuple[StoredEntry, ...]
    """Objects in the order in which the store returned them."""

    revision: int
    """Revision to watch from."""
