"""Exception for responses that exceed a size limit."""

from __future__ import annotations

__all__ = ["ResponseTooLong"]


class ResponseTooLong(ValueError):
    """A response, or a part of it, is longer than its limit."""
