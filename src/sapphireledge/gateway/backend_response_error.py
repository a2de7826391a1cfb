"""Error of an answer that cannot be used."""

from __future__ import annotations

__all__ = ["BackendResponseError"]


class BackendResponseError(Exception):
    """An answer ended early or was no answer; the request may have been executed."""
