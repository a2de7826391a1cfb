"""Answer of a plain service."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["ServiceAnswer"]


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete answer of a plain service, whatever its status."""

    status: int
    """Status code."""

    body: bytes
    """Whole body."""

    headers: Mapping[str, str]
    """Header fields with names in lower case; the last one wins where a name is repeated."""
