"""Error of a call to the store."""

from __future__ import annotations

__all__ = ["StoreError"]


class StoreError(Exception):
    """The store did not answer in time, refused, or gave an answer that cannot be read."""
