"""Signal that a message has not been received completely."""

from __future__ import annotations

__all__ = ["IncompleteMessage"]


class IncompleteMessage(Exception):
    """The rest of a message has not been received; it is read again by the asyncio protocol."""
