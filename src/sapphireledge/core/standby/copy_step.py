"""What is done about the copy of a running generation."""

from __future__ import annotations

from enum import Enum

__all__ = ["CopyStep"]


class CopyStep(Enum):
    """What is done about the copy of a running generation."""

    KEEP = "keep"
    """Nothing: it is protected, or a copy would not pay."""

    COPY = "copy"
    """It is copied to another engine, as the copy that it had is lost."""

    REFRESH = "refresh"
    """The copy is brought up to date, before the engine that holds it drops it."""
