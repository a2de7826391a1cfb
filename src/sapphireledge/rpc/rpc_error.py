"""Error of the transport or the protocol of one connection."""

from __future__ import annotations

__all__ = ["RpcError"]


class RpcError(Exception):
    """A connection broke, was refused, or carried a message that is malformed or too large.

    It exists at the I/O edge only; callers convert it into a Failure.
    """
