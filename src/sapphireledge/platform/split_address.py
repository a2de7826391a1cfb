"""Parsing of addresses in the form IP:PORT."""

from __future__ import annotations

from ipaddress import IPv4Address

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into IP address and port.

    Args:
        address: Address in the form IP:PORT.

    Returns:
        IP address and port.

    Raises:
        ValueError: The address has another form, is no IPv4 address, or its port is out of range.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} is not IP:PORT")
    return str(IPv4Address(host)), int(port)
