"""Where an answer was found."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ["FoundAnswer"]


@dataclass(frozen=True, slots=True)
class FoundAnswer:
    """Where an answer was found."""

    instance: str
    """Entry that has the answer or its copy, empty if none was found."""

    location: Any
    """AnswerLocation of that entry, None if none was found."""

    complete: bool
    """Whether every entry that was asked replied, so that a missing answer is gone for certain."""
