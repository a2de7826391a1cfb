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
    """Objects in the order of their keys; for a watch, of their versions."""

    version: int
    """Version of the store at the time of the listing; a watch can start from it."""

    next_after: str = ""
    """Key to continue after, empty on the last page."""
