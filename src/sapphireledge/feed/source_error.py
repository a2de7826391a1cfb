"""Error of a source of objects."""

from __future__ import annotations

__all__ = ["SourceError"]


class SourceError(Exception):
    """The source did not answer in time, refused, or gave an answer that cannot be read."""
