"""What the store keeps beside the content of an object."""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = ["ObjectRecord"]


class ObjectRecord(msgspec.Struct, frozen=True, array_like=True):
    """Status and versions of an object, as the store returned them."""

    status: Any
    """Decoded JSON value, None without a status."""

    revision: int
    """Revision of the last change of content or status."""

    created: int
    """Number that the store gave the object when it was created, 0 if unknown."""
