"""Result of a conditional write."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["WriteResult", "WriteStatus"]


class WriteStatus(StrEnum):
    """How a conditional write ended."""

    WRITTEN = "written"
    """The write took effect."""

    CONFLICT = "conflict"
    """The object is at another version; nothing was written."""

    AMBIGUOUS = "ambiguous"
    """The request was sent but its response was lost or unusable: it may have taken effect."""

    UNAVAILABLE = "unavailable"
    """The request was not sent or was refused: it did not take effect."""


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Result of a conditional write."""

    status: WriteStatus
    """Whether the write took effect."""

    version: int = 0
    """New version if written, current version on a conflict (0 if absent), otherwise 0."""
