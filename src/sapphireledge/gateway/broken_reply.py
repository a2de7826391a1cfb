"""Error of an answer that cannot be used."""

from __future__ import annotations

__all__ = ["BrokenReply"]


class BrokenReply(Exception):
    """An answer ended early or was no answer; the request may have been executed."""
