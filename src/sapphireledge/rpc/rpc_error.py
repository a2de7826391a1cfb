"""Error in the transport or protocol of a connection."""

from __future__ import annotations

__all__ = ["RpcError"]


class RpcError(Exception):
    """A connection was lost or refused, or carried a message that is malformed or too large.

    It is confined to the I/O layer, whose callers receive a Failure instead.
    """
