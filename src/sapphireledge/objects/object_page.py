"""One page of a listing, or the result of a watch."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.objects.stored_object import StoredObject

__all__ = ["ObjectPage"]


@dataclass(frozen=True, slots=True)
class ObjectPage:
    """One page of a listing, or the result of a watch."""

    objects: tuple[StoredObject, ...]
    """Objects ordered by key, or for a watch by version."""

    version: int
    """Version of the store when it was read; a watch can start from it."""

    next_after: str = ""
    """Key after which the next page starts, empty on the last page."""
