"""Response of a plain service."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["ServiceResponse"]


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Complete response of a plain service, with any status."""

    status: int
    """HTTP status code."""

    body: bytes
    """Complete body."""

    headers: Mapping[str, str]
    """Header fields with lower-case names; the last value of a repeated name."""
