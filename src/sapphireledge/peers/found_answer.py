"""Location of an answer found by a search."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ["FoundAnswer"]


@dataclass(frozen=True, slots=True)
class FoundAnswer:
    """Location of an answer found by a search."""

    instance: str
    """Name of the entry that holds the answer or a copy, empty if none was found."""

    location: Any
    """AnswerLocation returned by that entry, None if none was found."""

    complete: bool
    """Whether every queried entry replied, so that an answer not found no longer exists."""
