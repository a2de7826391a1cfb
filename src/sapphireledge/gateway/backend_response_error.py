"""Exception for unusable responses of backend servers."""

from __future__ import annotations

__all__ = ["BackendResponseError"]


class BackendResponseError(Exception):
    """A response was truncated, invalid or missing; the request may have been executed."""
