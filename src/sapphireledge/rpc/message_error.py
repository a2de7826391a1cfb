"""Error for an invalid message."""

from __future__ import annotations

from sapphireledge.rpc.rpc_error import RpcError

__all__ = ["MessageError"]


class MessageError(RpcError):
    """A message is malformed, too large or not allowed; the connection is then closed."""
