"""Limits of one Thrift connection."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RpcLimits"]


@dataclass(frozen=True, slots=True)
class RpcLimits:
    """Limits of one Thrift connection."""

    max_message: int = 4_194_304
    """Maximum message in bytes once authenticated, including VALUE_OVERHEAD per value."""

    max_hello: int = 16_384
    """Maximum first message in bytes, which limits the memory used before authentication."""

    hello_timeout: float = 5.0
    """Seconds within which the hello must arrive."""

    message_timeout: float = 10.0
    """Seconds allowed from the first byte of a message to its last, and for writing a reply."""

    idle_timeout: float = 120.0
    """Seconds without a message after which the server closes a connection."""

    max_connections: int = 2_048
    """Maximum open connections of a server; further ones are closed immediately."""
