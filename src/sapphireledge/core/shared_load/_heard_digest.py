"""Digest of a follower."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.shared_load.load_digest import LoadDigest

__all__ = ["HeardDigest"]


@dataclass(frozen=True, slots=True)
class HeardDigest:
    """Digest of a follower."""

    received_at: float
    """Time in seconds at which it was received."""

    digest: LoadDigest
    """The digest."""
