"""Limits of one Thrift connection."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RpcLimits"]


@dataclass(frozen=True, slots=True)
class RpcLimits:
    """Limits of one Thrift connection."""

    max_message: int = 4_194_304
    """Largest message on an authenticated connection, in bytes with the charge per value."""

    max_hello: int = 16_384
    """Largest first message; a connection without a valid hello may not cost more memory."""

    hello_timeout: float = 5.0
    """Seconds until the hello must have arrived."""

    message_timeout: float = 10.0
    """Seconds from the first byte of a message to its last, and for writing a reply."""

    idle_timeout: float = 120.0
    """Seconds without a message after which the server closes a connection."""

    max_connections: int = 2_048
    """Open connections of a server; further ones are closed at once."""
