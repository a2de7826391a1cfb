"""Decodes entries of the platform's server registry."""

from __future__ import annotations

import re
from typing import Any, Literal

import msgspec

from sapphireledge.gateway import BackendServer
from sapphireledge.platform.split_address import split_address

__all__ = ["decode_server", "decode_version"]

MAX_ID_LENGTH = 1_024
"""Longest id in characters; servers limit the heads of requests to a few kilobytes."""

_HEADER_VALUE = re.compile(r"[^\x00-\x20\x7f]([^\x00-\x08\x0a-\x1f\x7f]*[^\x00-\x20\x7f])?")
"""Text that is the same after it was sent as the value of a header."""


class _Server(msgspec.Struct):
    """A registry entry; `zone` is the data centre, `born` the start time in Unix milliseconds.

    An entry without a version or the time for which the server remains slow, or with one of
    another type, still describes a server.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    born: int = 0
    version: Any = ""
    cold_left_ms: Any = 0


def decode_server(name: str, spec: object) -> BackendServer:
    """Decodes a registry entry.

    Args:
        name: Name of the entry, which is the id of the backend server.
        spec: Decoded JSON value of the entry.

    Returns:
        The backend server.

    Raises:
        msgspec.ValidationError: A field is missing or has another type.
        ValueError: The address is not IP:PORT, or the id cannot be sent in a header.
    """
    if len(name) > MAX_ID_LENGTH or not _HEADER_VALUE.fullmatch(name):
        raise ValueError("the id cannot be sent in a header")
    entry = msgspec.convert(spec, _Server)
    host, port = split_address(entry.address)
    return BackendServer(
        server_id=name,
        service=entry.service,
        host=host,
        port=port,
        data_centre=entry.zone,
        draining=entry.state == "draining",
        started_at_ms=entry.born,
        version=decode_version(entry.version),
        is_warming=isinstance(entry.cold_left_ms, int | float) and entry.cold_left_ms > 0,
    )


def decode_version(value: object) -> str:
    """Decodes the version of a server's software.

    Args:
        value: Decoded JSON value; whole numbers are versions, too.

    Returns:
        The version as text, empty if the value is no version.
    """
    if isinstance(value, str):
        return value.strip()
    if isinstance(value, int) and not isinstance(value, bool):
        return str(value)
    return ""
