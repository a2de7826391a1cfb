"""Settings of the operators' interface of a process."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from sapphireledge.platform.split_address import split_address

__all__ = ["OperatorSettings", "read_operator_settings"]

SECRET_VARIABLE = "SAPPHIRELEDGE_OPERATOR_SECRET"
"""Environment variable with the operators' secret; it switches their interface on."""

SECRET_FILE_VARIABLE = "SAPPHIRELEDGE_OPERATOR_SECRET_FILE"
"""Environment variable with the path of a file that contains the secret, which goes first."""


class OperatorSettings(msgspec.Struct, frozen=True):
    """Address and secret of the operators' interface."""

    host: str
    """IP address to listen on."""

    port: int
    """TCP port."""

    secret: str
    """Secret that operators present."""


def read_operator_settings(address: str) -> OperatorSettings | None:
    """Reads the secret, once at the start of the process.

    Args:
        address: Address to listen on, as IP:PORT, empty if there is none.

    Returns:
        The settings, None if the interface is off.

    Raises:
        OSError: The file with the secret cannot be read.
        ValueError: The secret is empty, or the address is not IP:PORT.
    """
    secret = os.environ.get(SECRET_VARIABLE, "")
    path = os.environ.get(SECRET_FILE_VARIABLE, "")
    if path:
        secret = Path(path).read_text(encoding="utf-8").strip()
        if not secret:
            raise ValueError(f"{path}: the operators' secret is empty")
    if not secret:
        return None
    if not address:
        raise ValueError("port_range: has no second port for the operators' interface")
    return OperatorSettings(*split_address(address), secret)
