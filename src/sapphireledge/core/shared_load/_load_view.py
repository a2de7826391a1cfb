"""Merged figures with what they were made of."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.shared_load._heard_digest import HeardDigest
    from sapphireledge.core.shared_load.merged_load import MergedLoad

__all__ = ["LoadView"]


@dataclass(frozen=True, slots=True)
class LoadView:
    """Merged figures with what they were made of."""

    built_at: float
    """Time in seconds of the merge."""

    merged: MergedLoad
    """The figures."""

    parts: Mapping[str, HeardDigest]
    """Digests of the followers that are part of them."""
