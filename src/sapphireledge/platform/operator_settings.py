"""Settings of the operators' interface of a process."""

from __future__ import annotations

import msgspec

__all__ = ["OperatorSettings"]


class OperatorSettings(msgspec.Struct, frozen=True):
    """Address and secret of the operators' interface."""

    host: str
    """IP address to listen on."""

    port: int
    """TCP port."""

    secret: str
    """Secret that operators present."""
