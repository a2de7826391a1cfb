"""Exception for a message that has been received only in part."""

from __future__ import annotations

__all__ = ["IncompleteMessage"]


class IncompleteMessage(Exception):
    """Part of a message is outstanding; the asyncio protocol then decodes it from its start."""
