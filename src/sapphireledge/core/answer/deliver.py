"""Decision to append one token to the answer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Deliver"]


@dataclass(frozen=True, slots=True)
class Deliver:
    """Decision to append one token to the answer."""

    offset: int
    """Offset of the token from the start of the answer."""

    text: str
    """Text of the token."""
