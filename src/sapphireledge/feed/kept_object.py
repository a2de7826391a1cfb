"""Object as an instance keeps it for its followers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.feed.object_record import ObjectRecord

__all__ = ["KeptObject"]


@dataclass(frozen=True, slots=True)
class KeptObject:
    """Latest version of an object."""

    revision: int
    """Revision of the page with which it arrived."""

    content: bytes
    """Content in MessagePack, which takes a fraction of the memory of the decoded value."""

    record: ObjectRecord | None
    """Status and versions, None for kinds that are read without them."""
