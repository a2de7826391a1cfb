"""Error of an object source or a relay."""

from __future__ import annotations

__all__ = ["SourceError"]


class SourceError(Exception):
    """The source did not answer in time, refused the call or sent an undecodable answer."""
