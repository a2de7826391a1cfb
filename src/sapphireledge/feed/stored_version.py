"""A version of an object in the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ["StoredVersion"]


@dataclass(frozen=True, slots=True)
class StoredVersion:
    """Content and revision of an object, as the store returned them from a write."""

    spec: Any
    """Decoded JSON value."""

    revision: int
    """Revision of the last change of the object."""

    written: bool
    """Whether the write took effect; otherwise another writer was first."""

    status: Any = None
    """Decoded JSON value of the status, None without one."""

    created: int = 0
    """Number that the store gave the object when it was created, 0 if unknown."""
